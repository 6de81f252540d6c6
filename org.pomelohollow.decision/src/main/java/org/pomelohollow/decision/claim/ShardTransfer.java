package org.pomelohollow.decision.claim;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Brings a page of a shard's claims in the order of their keys.
 *
 * @param shard the shard
 * @param epoch epoch that was asked for
 * @param after key after which the page starts, as asked
 * @param claims the page
 * @param last whether no page follows
 */
public record ShardTransfer(
    int shard, long epoch, Optional<ClaimKey> after, List<ClaimRecord> claims, boolean last)
    implements PeerMessage {
  /** Checks and copies the fields. */
  public ShardTransfer {
    Objects.requireNonNull(after, "after");
    claims = List.copyOf(claims);
  }
}
