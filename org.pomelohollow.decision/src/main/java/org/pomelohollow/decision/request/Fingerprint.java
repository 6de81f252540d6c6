package org.pomelohollow.decision.request;

import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.StableHash;

/** Hash by which daemons recognise the same request, whatever its idempotency key. */
final class Fingerprint {
  private Fingerprint() {}

  /** Returns a hash over account, method, path and content, the same in every process. */
  static long of(Exchange x) {
    long h = StableHash.of(x.account().map(AccountId::value).orElse(""));
    h = StableHash.mix(h ^ StableHash.of(x.head().method()));
    h = StableHash.mix(h ^ StableHash.of(x.head().path()));
    return StableHash.mix(h ^ x.head().contentHash());
  }
}
