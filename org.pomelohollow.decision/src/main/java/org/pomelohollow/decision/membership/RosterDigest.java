package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.model.MemberId;

/**
 * Incremental digest of a set of members and their versions, divided into buckets by host. Equal
 * sets have equal digests whatever the order of their changes.
 */
final class RosterDigest {
  /** Number of buckets; a bit set of buckets fits a long. */
  static final int BUCKETS = Long.SIZE;

  private final long[] digests = new long[BUCKETS];

  /**
   * Adds a member at a version, or removes it if it is in the set.
   *
   * @param id identity of the member
   * @param version version of its entry
   */
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
  List<Long> bucketDigests() {
    List<Long> out = new ArrayList<>(BUCKETS);
    for (long d : digests) {
      out.add(d);
    }
    return out;
  }

  /**
   * Compares the buckets with those of another roster.
   *
   * @param others digest of each bucket of the other roster; a missing one differs
   * @return bit set of the buckets that differ
   */
  long differingBuckets(List<Long> others) {
    long bits = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (i >= others.size() || others.get(i) != digests[i]) {
        bits |= 1L << i;
      }
    }
    return bits;
  }

  /**
   * Returns whether the bucket of a member is in a bit set.
   *
   * @param buckets bit set of buckets
   * @param id identity of the member
   * @return true if the set holds the bucket
   */
  static boolean isInBuckets(long buckets, MemberId id) {
    return (buckets >>> bucket(id) & 1) != 0;
  }

  private static int bucket(MemberId id) {
    return (int) (Hashes.of(id.host()) & (BUCKETS - 1));
  }
}
