package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.model.MemberId;

/** Digest of a set of members and versions, in buckets; kept up to date one change at a time. */
final class RosterDigest {
  /** Number of buckets, one bit each in a bit set. */
  static final int BUCKETS = Long.SIZE;

  private final long[] digests = new long[BUCKETS];

  /** Adds a member at a version, or takes it out. */
  void toggle(MemberId id, long version) {
    digests[bucket(id)] ^= Hashes.of(id, version);
  }

  /** Returns the digest of all buckets; never 0. */
  long total() {
    long sum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      sum += Hashes.mix(digests[i] + i);
    }
    return sum == 0 ? 1 : sum;
  }

  /** Returns the digest of each bucket. */
  List<Long> buckets() {
    List<Long> out = new ArrayList<>(BUCKETS);
    for (long d : digests) {
      out.add(d);
    }
    return out;
  }

  /** Returns the buckets that differ from another's, as a bit set. */
  long differing(List<Long> others) {
    long bits = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (i >= others.size() || others.get(i) != digests[i]) {
        bits |= 1L << i;
      }
    }
    return bits;
  }

  /** Tells whether a member's bucket is in a bit set. */
  static boolean isIn(long buckets, MemberId id) {
    return (buckets >>> bucket(id) & 1) != 0;
  }

  private static int bucket(MemberId id) {
    return (int) (Hashes.of(id.host()) & (BUCKETS - 1));
  }
}
