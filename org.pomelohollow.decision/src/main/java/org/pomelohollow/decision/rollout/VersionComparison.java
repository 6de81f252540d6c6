package org.pomelohollow.decision.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Judges a new version against the old one by failures and by slow responses, for each route and
 * over all routes, since the order and in the last seconds. Failures of a called service hit both
 * versions and so don't count against the new one.
 */
final class VersionComparison {
  /**
   * Improbability of a version's bad responses from which it is bad: negative logarithm of a bound
   * on the binomial tail. 8 takes 4 failures of 12 where the old version has none; a good version
   * reaches that in about 1 of 10,000 checks.
   */
  private static final double BAD_IMPROBABILITY = 8;

  /** Improbability from which a version is not good, though it may not be bad. */
  private static final double SUSPICIOUS_IMPROBABILITY = 2.5;

  /** Excess of the new version's bad share over the old one's; bad versions have 0.35 or more. */
  private static final double MIN_EXCESS = 0.12;

  private static final int MIN_BAD = 3;
  private static final int MIN_RECENT = 10;
  private static final double TOLERATED_FACTOR = 1.25;

  /** Tolerated excess of failures, of which a good version has hardly any. */
  private static final double FAILURE_EXCESS = 0.01;

  /** Tolerated excess of slow responses: hosts of one version differ in speed. */
  private static final double SLOW_EXCESS = 0.02;

  /** Part of the old version's responses from which a route must be judged by itself. */
  private static final double NOTABLE_ROUTE = 0.05;

  /** Old responses from which their median is known well enough. */
  private static final int MIN_OLD_TIMES = 20;

  /** Buckets from the median to a slow response: a factor of 4 to within half an octave. */
  private static final int SLOW_BUCKETS = 4;

  private final Evidence.Spans oldVersion;

  VersionComparison(Evidence.Spans oldVersion) {
    this.oldVersion = oldVersion;
  }

  /** Judges targets of the new version. */
  Judgement judge(Evidence.Spans fresh) {
    List<Check> checks = new ArrayList<>();
    addChecks(fresh.all(), "since the order", checks);
    addChecks(fresh.recent(), "recently", checks);
    Optional<Check> bad = checks.stream().filter(Check::isBad).findFirst();
    return new Judgement(
        bad.isPresent(),
        checks.stream().anyMatch(Check::isSuspicious),
        fresh.all().responses(),
        fresh.all().timed(),
        badCount(fresh.all()),
        leastOnRoute(fresh.all()),
        bad.map(Check::toString).orElse(""));
  }

  /** Returns the longest usual time of a request at the old version, in nanoseconds. */
  long longestNanos() {
    return oldVersion.all().routes().values().stream()
        .mapToLong(Totals.Route::longestNanos)
        .max()
        .orElse(0);
  }

  /** Returns a time after which a request to the new version is known to be slow. */
  long slowNanos() {
    return oldVersion.all().routes().keySet().stream()
        .map(this::slowBucket)
        .filter(OptionalInt::isPresent)
        .mapToLong(b -> TimeHistogram.lowerNanos(b.getAsInt()))
        .max()
        .orElse(0);
  }

  private void addChecks(Totals t, String span, List<Check> out) {
    Sum failures = new Sum(FAILURE_EXCESS);
    Sum slow = new Sum(SLOW_EXCESS);
    for (Map.Entry<String, Totals.Route> e : t.routes().entrySet()) {
      String route = e.getKey();
      Totals.Route r = e.getValue();
      Check f =
          new Check(
              route + " failures " + span,
              r.responses(),
              r.failures(),
              oldFailures(route),
              FAILURE_EXCESS);
      out.add(f);
      failures.add(f);
      slowBucket(route)
          .ifPresent(
              b -> {
                Check s =
                    new Check(
                        route + " slow " + span,
                        r.judged(b),
                        r.slow(b),
                        oldSlow(route, b),
                        SLOW_EXCESS);
                out.add(s);
                slow.add(s);
              });
    }
    out.add(failures.check("all routes, failures " + span));
    out.add(slow.check("all routes, slow " + span));
  }

  /** Returns the fewest responses on a route with a notable part of the old version's. */
  private long leastOnRoute(Totals t) {
    double notable = NOTABLE_ROUTE * oldVersion.all().responses();
    return oldVersion.all().routes().entrySet().stream()
        .filter(e -> e.getValue().responses() >= notable)
        .mapToLong(e -> t.find(e.getKey()).responses())
        .min()
        .orElse(t.responses());
  }

  private long badCount(Totals t) {
    long n = 0;
    for (Map.Entry<String, Totals.Route> e : t.routes().entrySet()) {
      OptionalInt b = slowBucket(e.getKey());
      n += e.getValue().failures() + (b.isPresent() ? e.getValue().slow(b.getAsInt()) : 0);
    }
    return n;
  }

  private double oldFailures(String route) {
    Totals.Route all = oldVersion.all().find(route);
    Totals.Route recent = oldVersion.recent().find(route);
    return Math.max(
        share(all.failures(), all.responses()), recentShare(recent.failures(), recent.responses()));
  }

  private double oldSlow(String route, int bucket) {
    Totals.Route all = oldVersion.all().find(route);
    Totals.Route recent = oldVersion.recent().find(route);
    return Math.max(
        share(all.slow(bucket), all.judged(bucket)),
        recentShare(recent.slow(bucket), recent.judged(bucket)));
  }

  private OptionalInt slowBucket(String route) {
    TimeHistogram t = oldVersion.all().find(route).times();
    return t.total() < MIN_OLD_TIMES
        ? OptionalInt.empty()
        : OptionalInt.of(Math.min(TimeHistogram.BUCKETS - 1, t.medianBucket() + SLOW_BUCKETS));
  }

  /** Returns a share of the last seconds, which few responses don't tell. */
  private static double recentShare(long count, long of) {
    return of < MIN_RECENT ? 0 : (double) count / of;
  }

  /** Returns a share, which is small but not 0 without any case. */
  private static double share(long count, long of) {
    return of <= 0 ? 0 : (count + 0.5) / (of + 5.0);
  }

  /**
   * Result of a comparison.
   *
   * @param bad whether the version is bad
   * @param suspicious whether there are too many bad responses to call it good
   * @param responses number of its responses
   * @param timed number of its responses with a time that counts
   * @param badResponses number of its bad responses
   * @param leastOnRoute fewest responses on a route that matters
   * @param reason what is bad, empty if nothing is
   */
  record Judgement(
      boolean bad,
      boolean suspicious,
      long responses,
      long timed,
      long badResponses,
      long leastOnRoute,
      String reason) {}

  /** Comparison of bad responses with what the old version lets expect. */
  private record Check(String name, long count, long bad, double oldShare, double toleratedExcess) {
    boolean isBad() {
      return isImprobable(BAD_IMPROBABILITY);
    }

    boolean isSuspicious() {
      return isImprobable(SUSPICIOUS_IMPROBABILITY);
    }

    private boolean isImprobable(double bound) {
      double share = (double) bad / Math.max(1, count);
      return bad >= (bound == BAD_IMPROBABILITY ? MIN_BAD : 2)
          && share >= oldShare + MIN_EXCESS
          && count * divergence(share, tolerated()) >= bound;
    }

    private double tolerated() {
      return Math.min(0.9, TOLERATED_FACTOR * oldShare + toleratedExcess);
    }

    /**
     * Returns the relative entropy of two coins, whose product with the number of throws bounds the
     * logarithm of the binomial tail (Chernoff, 1952).
     */
    private static double divergence(double p, double q) {
      if (p <= q) {
        return 0;
      }
      double other = p >= 1 ? 0 : (1 - p) * Math.log((1 - p) / (1 - q));
      return p * Math.log(p / q) + other;
    }

    @Override
    public String toString() {
      return String.format("%s: %d of %d, old %.3f", name, bad, count, oldShare);
    }
  }

  /** Sum of checks, with the old version's share weighted by the new one's routes. */
  private static final class Sum {
    private final double toleratedExcess;
    private long count;
    private long bad;
    private double expected;

    Sum(double toleratedExcess) {
      this.toleratedExcess = toleratedExcess;
    }

    void add(Check c) {
      count += c.count();
      bad += c.bad();
      expected += c.count() * c.oldShare();
    }

    Check check(String name) {
      return new Check(name, count, bad, count == 0 ? 0 : expected / count, toleratedExcess);
    }
  }
}
