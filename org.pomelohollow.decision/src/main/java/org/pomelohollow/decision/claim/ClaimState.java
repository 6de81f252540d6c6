package org.pomelohollow.decision.claim;

/** What is known of a claimed request. Later states outweigh earlier ones. */
public enum ClaimState {
  /** It may be running or about to run. */
  RUNNING,
  /** It may have run; its answer will never be known. */
  UNKNOWN,
  /** It ran. */
  RAN,
  /** It certainly did not run and will not under this claim. */
  RELEASED
}
