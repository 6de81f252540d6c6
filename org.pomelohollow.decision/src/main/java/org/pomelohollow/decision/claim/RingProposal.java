package org.pomelohollow.decision.claim;

import java.util.List;
import org.pomelohollow.message.LogEntry;

/**
 * Proposes other members for the ring. It holds if the base is the version before it in the log.
 *
 * @param base version that it changes, 0 for the first
 * @param members all members of the new version
 */
public record RingProposal(long base, List<RingMember> members) implements LogEntry {
  /** Copies the list. */
  public RingProposal {
    members = List.copyOf(members);
  }
}
