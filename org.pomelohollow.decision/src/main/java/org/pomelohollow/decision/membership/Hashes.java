package org.pomelohollow.decision.membership;

import org.pomelohollow.model.MemberId;

/** Hashes that are equal in all processes. */
final class Hashes {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  /** Returns a hash of a text: FNV-1a over its characters, then mixed. */
  static long of(String s) {
    long h = FNV_OFFSET;
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * FNV_PRIME;
    }
    return mix(h);
  }

  /** Returns a hash of a member at a version of its entry. */
  static long of(MemberId id, long version) {
    return mix(mix(of(id.host()) + id.incarnation()) + version);
  }

  /** Spreads every bit over the whole word: the finalizer of SplitMix64 (Steele et al. 2014). */
  static long mix(long z) {
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
