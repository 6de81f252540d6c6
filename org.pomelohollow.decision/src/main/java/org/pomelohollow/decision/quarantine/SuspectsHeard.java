package org.pomelohollow.decision.quarantine;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * Gossip message about suspects, and about fingerprints that are cleared because a request with
 * them completed.
 *
 * @param suspects suspects that are new or have changed
 * @param cleared fingerprints that are no longer suspected
 */
public record SuspectsHeard(List<Suspect> suspects, List<Long> cleared) implements PeerMessage {
  /** Copies the lists. */
  public SuspectsHeard {
    suspects = List.copyOf(suspects);
    cleared = List.copyOf(cleared);
  }
}
