package org.pomelohollow.decision.quarantine;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * Tells peers of suspects, and of fingerprints that are cleared because they completed.
 *
 * @param suspects new or changed suspects
 * @param cleared fingerprints under suspicion no more
 */
public record SuspectsHeard(List<Suspect> suspects, List<Long> cleared) implements PeerMessage {
  /** Copies the lists. */
  public SuspectsHeard {
    suspects = List.copyOf(suspects);
    cleared = List.copyOf(cleared);
  }
}
