package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Asks a witness of a shard's previous epoch for its claims. A witness that replies never again
 * grants a claim in an epoch older than {@code epoch}.
 *
 * @param shard number of the shard
 * @param epoch epoch in which the sender is a witness of the shard
 * @param previousEpoch previous epoch, of which the receiver must have all claims
 * @param afterKey last key that the sender has received, empty for the first page
 */
public record ShardFetch(int shard, long epoch, long previousEpoch, Optional<ClaimKey> afterKey)
    implements PeerMessage {
  /** Checks the field. */
  public ShardFetch {
    Objects.requireNonNull(afterKey, "after");
  }
}
