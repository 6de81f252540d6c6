package org.pomelohollow.model;

/** Hash functions with the same result in every process, for rendezvous hashing. */
public final class StableHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private StableHash() {}

  /**
   * Hashes a text with 64-bit FNV-1a over its UTF-16 code units, followed by {@link #mix}.
   *
   * @param text the text, not null
   * @return the hash
   */
  public static long of(String text) {
    long h = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(h);
  }

  /**
   * Mixes a number so that every input bit affects all output bits.
   *
   * @param h the number to mix
   * @return the mixed number
   */
  public static long mix(long h) {
    long z = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
