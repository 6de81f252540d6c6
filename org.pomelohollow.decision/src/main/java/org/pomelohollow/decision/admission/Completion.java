package org.pomelohollow.decision.admission;

/** How a request at a target ended. */
public enum Completion {
  /** The target answered in full. */
  ANSWERED,
  /** The target answered that it sheds load, in the form its contract defines. */
  SHED,
  /** The connection broke or the answer was malformed. */
  FAILED,
  /** The deadline passed while the request ran. */
  TIMED_OUT,
  /** The caller left while the request ran. */
  CANCELLED
}
