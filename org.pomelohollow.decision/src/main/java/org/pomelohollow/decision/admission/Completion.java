package org.pomelohollow.decision.admission;

/** How a request at a target ended. */
public enum Completion {
  /** The target sent its whole response. */
  RESPONDED,
  /** The target refused the request as overloaded, in the form that its protocol defines. */
  SHED,
  /** The connection broke or the response was malformed. */
  FAILED,
  /** The deadline passed while the request ran. */
  TIMED_OUT,
  /** The caller disconnected while the request ran. */
  CANCELLED
}
