package org.pomelohollow.decision.rollout;

import java.util.ArrayList;
import java.util.List;

/** Histogram of times at a target, in buckets of half an octave from 0.25 ms up. */
final class TimeHistogram {
  static final int BUCKETS = 40;

  private static final double SMALLEST_NANOS = 250_000;
  private static final double BUCKETS_PER_OCTAVE = 2;

  private final long[] counts = new long[BUCKETS];

  /** Returns the bucket of a time. */
  static int bucket(long nanos) {
    if (nanos <= SMALLEST_NANOS) {
      return 0;
    }
    double octaves = Math.log(nanos / SMALLEST_NANOS) / Math.log(2);
    return Math.min(BUCKETS - 1, (int) (BUCKETS_PER_OCTAVE * octaves));
  }

  /** Returns the shortest time of a bucket, in nanoseconds. */
  static long lowerNanos(int bucket) {
    return (long) (SMALLEST_NANOS * Math.pow(2, bucket / BUCKETS_PER_OCTAVE));
  }

  void add(long nanos) {
    counts[bucket(nanos)]++;
  }

  /**
   * Adds counts.
   *
   * @param all counts by bucket, from the first one; those beyond the last bucket are ignored
   * @param sign 1 to add, -1 to subtract
   */
  void add(List<Long> all, int sign) {
    for (int i = 0; i < Math.min(BUCKETS, all.size()); i++) {
      counts[i] += sign * all.get(i);
    }
  }

  long total() {
    return from(0);
  }

  /** Returns the number of times in a bucket and those above it. */
  long from(int bucket) {
    long n = 0;
    for (int i = bucket; i < BUCKETS; i++) {
      n += counts[i];
    }
    return n;
  }

  /** Returns the bucket of the median, 0 without times. */
  int medianBucket() {
    return quantileBucket(0.5);
  }

  /** Returns the bucket of a quantile, 0 without times. */
  int quantileBucket(double q) {
    long needed = (long) Math.ceil(q * total());
    long n = 0;
    for (int i = 0; i < BUCKETS; i++) {
      n += counts[i];
      if (n >= needed) {
        return i;
      }
    }
    return 0;
  }

  /** Returns the counts by bucket, up to the last one that is not 0. */
  List<Long> toList() {
    int end = BUCKETS;
    while (end > 0 && counts[end - 1] == 0) {
      end--;
    }
    List<Long> out = new ArrayList<>(end);
    for (int i = 0; i < end; i++) {
      out.add(counts[i]);
    }
    return out;
  }
}
