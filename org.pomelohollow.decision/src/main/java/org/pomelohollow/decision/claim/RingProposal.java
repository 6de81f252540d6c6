package org.pomelohollow.decision.claim;

import java.util.List;
import org.pomelohollow.message.LogEntry;

/**
 * Log entry that proposes a new version of the ring. It is accepted only if the version active at
 * its place in the log is its base.
 *
 * @param baseVersion version that the proposal replaces, 0 for the first
 * @param members all members of the new version
 */
public record RingProposal(long baseVersion, List<RingMember> members) implements LogEntry {
  /** Copies the list. */
  public RingProposal {
    members = List.copyOf(members);
  }
}
