package org.pomelohollow.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Asks a witness of the epoch before for its claims. Who answers never grants in an epoch before
 * the named one again.
 *
 * @param shard the shard
 * @param epoch epoch of the sender's seat
 * @param before epoch for which the claims must be complete
 * @param after last key that the sender has got, none for the start
 */
public record ShardFetch(int shard, long epoch, long before, Optional<ClaimKey> after)
    implements PeerMessage {
  /** Checks the field. */
  public ShardFetch {
    Objects.requireNonNull(after, "after");
  }
}
