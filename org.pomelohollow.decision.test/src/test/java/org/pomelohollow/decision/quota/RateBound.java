package org.pomelohollow.decision.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks that admissions stay within burst + rate * t in every window of length t. While a change
 * of the configuration spreads, the greater of the old and the new value counts.
 */
final class RateBound {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ROUNDING_TOKENS = 1e-3;

  private final List<Limit> limits = new ArrayList<>();
  private final List<Long> admissionNanos = new ArrayList<>();

  /** Adds a limit that is active between two times; of several, the greatest values count. */
  void addLimit(double rate, double burst, long fromNanos, long toNanos) {
    limits.add(new Limit(rate, burst, fromNanos, toNanos));
  }

  /** Records an admission. Calls must come in the order of time. */
  void recordAdmission(long nanos) {
    admissionNanos.add(nanos);
  }

  int admissionCount() {
    return admissionNanos.size();
  }

  /** Returns a description of the first admission beyond the bound; empty if there is none. */
  Optional<String> findViolation() {
    if (admissionNanos.isEmpty()) {
      return Optional.empty();
    }
    long previousNanos = admissionNanos.get(0);
    double level = Double.MAX_VALUE;
    for (int i = 0; i < admissionNanos.size(); i++) {
      long t = admissionNanos.get(i);
      level = refill(level, previousNanos, t) - 1;
      previousNanos = t;
      if (level < -ROUNDING_TOKENS) {
        return Optional.of("admission " + i + " at " + t / 1_000_000 + " ms, level " + level);
      }
    }
    return Optional.empty();
  }

  /** Returns the level of the reference token bucket after a time without admissions. */
  private double refill(double level, long from, long to) {
    List<Long> boundaries = new ArrayList<>(List.of(from, to));
    for (Limit l : limits) {
      boundaries.add(l.fromNanos);
      boundaries.add(l.toNanos);
    }
    boundaries.removeIf(c -> c < from || c > to);
    boundaries.sort(null);
    double tokens = Math.min(level, burst(from));
    for (int i = 1; i < boundaries.size(); i++) {
      long a = boundaries.get(i - 1);
      long b = boundaries.get(i);
      if (b > a) {
        tokens = Math.min(burst(a), tokens + rate(a) * (b - a) / NANOS_PER_SECOND);
      }
    }
    return Math.min(tokens, burst(to));
  }

  private double rate(long t) {
    return limits.stream().filter(l -> l.isActiveAt(t)).mapToDouble(l -> l.rate).max().orElse(0);
  }

  private double burst(long t) {
    return limits.stream().filter(l -> l.isActiveAt(t)).mapToDouble(l -> l.burst).max().orElse(0);
  }

  private record Limit(double rate, double burst, long fromNanos, long toNanos) {
    boolean isActiveAt(long t) {
      return t >= fromNanos && t < toNanos;
    }
  }
}
