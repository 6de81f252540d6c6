package org.pomelohollow.decision.admission;

/** How a request at a target ended. */
public enum Completion {
  /** The target answered in full. */
  ANSWERED,
  /** The target refused the request as overloaded, in the form that its protocol defines. */
  SHED,
  /** The connection broke or the answer was malformed. */
  FAILED,
  /** The deadline passed while the request ran. */
  TIMED_OUT,
  /** The caller disconnected while the request ran. */
  CANCELLED
}
