package org.pomelohollow.decision.claim;

import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/**
 * Key under which a request is claimed. A resend has the same key as the first request.
 *
 * @param account client account, empty on open routes
 * @param service service that is called
 * @param idempotencyKey idempotency key that the caller sent
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
   * @param context the request
   * @return the key; empty if the request is idempotent or has no idempotency key, and so needs no
   *     claim
   */
  public static Optional<ClaimKey> of(RequestContext context) {
    if (context.idempotent()) {
      return Optional.empty();
    }
    return context.idempotencyKey().map(k -> new ClaimKey(context.account(), context.service(), k));
  }

  /** Returns the shard of the key, a stable hash that is the same in every process. */
  int shard() {
    String s = account.map(AccountId::value).orElse("") + "\0" + service + "\0" + idempotencyKey;
    return Math.floorMod(StableHash.of(s), RingState.SHARD_COUNT);
  }

  @Override
  public int compareTo(ClaimKey o) {
    return ORDER.compare(this, o);
  }
}
