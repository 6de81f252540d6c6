package org.pomelohollow.decision.membership;

import org.pomelohollow.model.MemberId;

/** Hash functions whose results are the same in every process. */
final class Hashes {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  /**
   * Returns the hash of a text: FNV-1a over its characters, then {@link #mix}.
   *
   * @param s the text, not null
   * @return the hash
   */
  static long of(String s) {
    long h = FNV_OFFSET;
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * FNV_PRIME;
    }
    return mix(h);
  }

  /**
   * Returns the hash of a member at a version of its entry.
   *
   * @param id identity of the member
   * @param version version of its roster entry
   * @return the hash
   */
  static long of(MemberId id, long version) {
    return mix(mix(of(id.host()) + id.incarnation()) + version);
  }

  /**
   * Makes every bit of the input affect all bits of the result: the finalizer of SplitMix64 (Steele
   * et al. 2014).
   *
   * @param z any value
   * @return the mixed value
   */
  static long mix(long z) {
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }
}
