package org.pomelohollow.decision.claim;

/**
 * State of a claimed request, as far as a witness can tell. A constant takes precedence over the
 * constants declared before it.
 */
public enum ClaimState {
  /** The request may be running or about to run. */
  RUNNING,
  /** The request may have run, and its outcome will never be known. */
  UNKNOWN,
  /** The request ran. */
  RAN,
  /** The request certainly did not run, and will not run under this claim. */
  RELEASED
}
