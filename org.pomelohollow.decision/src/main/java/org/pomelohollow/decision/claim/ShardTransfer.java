package org.pomelohollow.decision.claim;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Carries a page of a shard's claims, in the order of their keys, in reply to a {@link ShardFetch}.
 *
 * @param shard number of the shard
 * @param epoch epoch of the fetch
 * @param afterKey key of the fetch, after which the page starts
 * @param claims claims of the page
 * @param lastPage whether this is the last page
 */
public record ShardTransfer(
    int shard, long epoch, Optional<ClaimKey> afterKey, List<ClaimRecord> claims, boolean lastPage)
    implements PeerMessage {
  /** Checks and copies the fields. */
  public ShardTransfer {
    Objects.requireNonNull(afterKey, "after");
    claims = List.copyOf(claims);
  }
}
