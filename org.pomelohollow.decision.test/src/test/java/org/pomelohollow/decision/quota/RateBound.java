package org.pomelohollow.decision.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Checks admissions against burst and rate in every window. While a change of the document spreads,
 * the greater of the old and the new value counts.
 */
final class RateBound {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double ROUNDING = 1e-3;

  private final List<Limit> limits = new ArrayList<>();
  private final List<Long> admissions = new ArrayList<>();

  /** Adds a limit in force between two times. */
  void allow(double rate, double burst, long fromNanos, long toNanos) {
    limits.add(new Limit(rate, burst, fromNanos, toNanos));
  }

  void admitted(long nanos) {
    admissions.add(nanos);
  }

  int count() {
    return admissions.size();
  }

  /** Returns what was wrong, if anything. Admissions come in the order of time. */
  Optional<String> violation() {
    if (admissions.isEmpty()) {
      return Optional.empty();
    }
    long at = admissions.get(0);
    double level = Double.MAX_VALUE;
    for (int i = 0; i < admissions.size(); i++) {
      long t = admissions.get(i);
      level = fill(level, at, t) - 1;
      at = t;
      if (level < -ROUNDING) {
        return Optional.of("admission " + i + " at " + t / 1_000_000 + " ms, level " + level);
      }
    }
    return Optional.empty();
  }

  private double fill(double level, long from, long to) {
    List<Long> cuts = new ArrayList<>(List.of(from, to));
    for (Limit l : limits) {
      cuts.add(l.fromNanos);
      cuts.add(l.toNanos);
    }
    cuts.removeIf(c -> c < from || c > to);
    cuts.sort(null);
    double n = Math.min(level, burst(from));
    for (int i = 1; i < cuts.size(); i++) {
      long a = cuts.get(i - 1);
      long b = cuts.get(i);
      if (b > a) {
        n = Math.min(burst(a), n + rate(a) * (b - a) / NANOS_PER_SECOND);
      }
    }
    return Math.min(n, burst(to));
  }

  private double rate(long t) {
    return limits.stream().filter(l -> l.holds(t)).mapToDouble(l -> l.rate).max().orElse(0);
  }

  private double burst(long t) {
    return limits.stream().filter(l -> l.holds(t)).mapToDouble(l -> l.burst).max().orElse(0);
  }

  private record Limit(double rate, double burst, long fromNanos, long toNanos) {
    boolean holds(long t) {
      return t >= fromNanos && t < toNanos;
    }
  }
}
