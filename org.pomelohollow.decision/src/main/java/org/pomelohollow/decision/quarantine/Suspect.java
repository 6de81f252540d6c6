package org.pomelohollow.decision.quarantine;

import java.util.Set;

/**
 * Fingerprint of a request that is suspected to crash targets.
 *
 * @param fingerprint fingerprint of the request
 * @param crashes crashes of targets that ran it
 * @param ttlMillis time until the suspicion expires, in milliseconds
 */
public record Suspect(long fingerprint, Set<TargetCrash> crashes, long ttlMillis) {
  /** Copies the set. */
  public Suspect {
    crashes = Set.copyOf(crashes);
  }
}
