package org.pomelohollow.decision.quarantine;

import java.util.Set;

/**
 * A fingerprint under suspicion.
 *
 * @param fingerprint fingerprint of the request
 * @param crashes runs of targets that ended with it
 * @param ttlMillis how long the suspicion still lasts, in milliseconds
 */
public record Suspect(long fingerprint, Set<TargetCrash> crashes, long ttlMillis) {
  /** Copies the set. */
  public Suspect {
    crashes = Set.copyOf(crashes);
  }
}
