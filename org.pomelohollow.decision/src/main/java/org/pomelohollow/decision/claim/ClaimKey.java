package org.pomelohollow.decision.claim;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/**
 * What a resend has in common with the first sending.
 *
 * @param account client account, empty on open routes
 * @param service service that is called
 * @param idempotencyKey the caller's key
 */
public record ClaimKey(Optional<AccountId> account, ServiceId service, String idempotencyKey)
    implements Comparable<ClaimKey> {
  private static final Comparator<ClaimKey> ORDER =
      Comparator.comparing(ClaimKey::idempotencyKey)
          .thenComparing(ClaimKey::service)
          .thenComparing(k -> k.account.map(AccountId::value).orElse(""));

  /** Checks the fields. */
  public ClaimKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
  }

  /**
   * Returns the key under which a request is claimed.
   *
   * @param c the request
   * @return empty if the request needs no claim
   */
  public static Optional<ClaimKey> of(RequestContext c) {
    if (c.idempotent()) {
      return Optional.empty();
    }
    return c.idempotencyKey().map(k -> new ClaimKey(c.account(), c.service(), k));
  }

  /** Returns the shard of the key, the same in every process. */
  int shard() {
    String s = account.map(AccountId::value).orElse("") + "\0" + service + "\0" + idempotencyKey;
    return Math.floorMod(StableHash.of(s), RingState.SHARDS);
  }

  @Override
  public int compareTo(ClaimKey o) {
    return ORDER.compare(this, o);
  }
}
