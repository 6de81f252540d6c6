package org.pomelohollow.decision.membership;

import java.util.List;
import org.pomelohollow.message.PeerMessage;

/**
 * News of members, passed on by each receiver to its own neighbours; or a part of the answer to a
 * {@link SyncRequest}.
 *
 * @param entries new or changed members
 * @param suspicions members that seem dead or have left
 * @param answerTo number of the request that this answers, 0 for news
 * @param buckets bit set of the roster's buckets that the whole answer covers; 0 in all parts of an
 *     answer but the last
 */
public record Rumours(
    List<RosterEntry> entries, List<Suspicion> suspicions, long answerTo, long buckets)
    implements PeerMessage {
  /** Copies the lists. */
  public Rumours {
    entries = List.copyOf(entries);
    suspicions = List.copyOf(suspicions);
  }
}
