package org.pomelohollow.decision.request;

import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.StableHash;

/** Computes a hash that identifies equal requests, regardless of their idempotency keys. */
final class Fingerprint {
  private Fingerprint() {}

  /** Returns a hash of client account, method, path and content, equal in every process. */
  static long of(Exchange x) {
    long h = StableHash.of(x.account().map(AccountId::value).orElse(""));
    h = StableHash.mix(h ^ StableHash.of(x.head().method()));
    h = StableHash.mix(h ^ StableHash.of(x.head().path()));
    return StableHash.mix(h ^ x.head().contentHash());
  }
}
