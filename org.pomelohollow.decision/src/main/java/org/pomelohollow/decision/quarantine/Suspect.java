package org.pomelohollow.decision.quarantine;

import java.util.Set;

/**
 * A fingerprint under suspicion.
 *
 * @param fingerprint fingerprint of the request
 * @param deaths runs of targets that ended with it
 * @param ttlMillis how long the suspicion still lasts, in milliseconds
 */
public record Suspect(long fingerprint, Set<Death> deaths, long ttlMillis) {
  /** Copies the set. */
  public Suspect {
    deaths = Set.copyOf(deaths);
  }
}
