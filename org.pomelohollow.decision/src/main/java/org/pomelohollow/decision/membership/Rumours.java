package org.pomelohollow.decision.membership;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * Message with roster updates: gossip, which a receiver passes on to its own neighbours if it is
 * new to it, or a part of the reply to a {@link SyncRequest}.
 *
 * @param entries live members that are new or have changed
 * @param suspicions members that are suspected, declared dead or have left
 * @param syncRequestId number of the request that this replies to, 0 for gossip
 * @param coveredBuckets bit set of the digest buckets that the whole reply covers; 0 for gossip and
 *     in all parts of a reply but the last
 */
public record Rumours(
    List<RosterEntry> entries, List<Suspicion> suspicions, long syncRequestId, long coveredBuckets)
    implements PeerMessage {
  /** Copies the lists. */
  public Rumours {
    entries = List.copyOf(entries);
    suspicions = List.copyOf(suspicions);
  }
}
