package org.pomelohollow.decision.admission;

/**
 * Searches for the smallest limit that doesn't cost throughput, by trials.
 *
 * <p>A trial compares the throughput of a window at a lower or higher limit with that of a window
 * at the present one. If more requests in flight bring no more answers, the target queues inside;
 * if fewer bring fewer, it doesn't, however slow it has become. After the incremental steps of
 * Heiss and Wagner, "Adaptive Load Control in Transaction Processing Systems", VLDB 1991.
 */
public final class ThroughputLimit implements LimitAlgorithm {
  private static final double STEP = 0.75;
  private static final double LEAST_ELASTICITY = 0.2;
  private static final double SUSPICIOUS_RISE = 1.3;
  private static final double SHED_FACTOR = 0.9;
  private static final double IDLE_GROWTH = 1.1;
  private static final double BINDING_SHARE = 0.9;
  private static final int WINDOW_SAMPLES = 2_000;
  private static final int LEAST_SAMPLES = 400;
  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final long SHED_NANOS = 100_000_000L;
  private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;
  private static final long LONGEST_PAUSE_NANOS = 10_000_000_000L;

  private int ceiling = 1;
  private double limit = 1;
  private double trial;
  private double trialRate;
  private boolean confirming;
  private boolean upward;
  private double baseRate;
  private double settledNanos;
  private long pauseNanos = FIRST_PAUSE_NANOS;
  private long nextTrialNanos = Long.MIN_VALUE;
  private Window window = new Window(Long.MIN_VALUE);

  @Override
  public int limit() {
    double l = trial > 0 && !confirming ? trial : limit;
    return Math.max(1, (int) Math.min(Math.round(l), ceiling));
  }

  @Override
  public void setCeiling(int ceiling) {
    boolean wasAtCeiling = limit >= this.ceiling;
    this.ceiling = ceiling;
    limit = wasAtCeiling ? ceiling : Math.min(limit, ceiling);
  }

  @Override
  public void reset(int start) {
    limit = start;
    trial = 0;
    confirming = false;
    settledNanos = 0;
    pauseNanos = FIRST_PAUSE_NANOS;
    nextTrialNanos = Long.MIN_VALUE;
    window = new Window(Long.MIN_VALUE);
  }

  @Override
  public void ended(Sample s, long nowNanos) {
    if (window.startNanos == Long.MIN_VALUE) {
      window = new Window(nowNanos);
    }
    if (s.completion() == Completion.SHED) {
      window.shed++;
    } else {
      window.add(s);
    }
    if (!window.isFull(nowNanos)) {
      return;
    }
    Window w = window;
    window = new Window(nowNanos);
    if (w.shed > 0) {
      lower(SHED_FACTOR, nowNanos);
    } else if (w.isBinding()) {
      judge(w, nowNanos);
    } else {
      trial = 0;
      confirming = false;
      limit = Math.min(ceiling, limit * IDLE_GROWTH + 1);
    }
  }

  private void judge(Window w, long nowNanos) {
    double rate = w.rate(nowNanos);
    if (confirming) {
      confirming = false;
      settle(isWorthwhile(trialRate, Math.max(baseRate, rate)), rate, w.meanNanos(), nowNanos);
    } else if (trial > 0) {
      trialRate = rate;
      confirming = isWorthwhile(rate, baseRate);
      if (!confirming) {
        settle(false, rate, w.meanNanos(), nowNanos);
      }
    } else if (isTrialDue(w.meanNanos(), nowNanos)) {
      baseRate = rate;
      settledNanos = w.meanNanos();
      startTrial(nowNanos);
    }
  }

  /** At the ceiling only a rise of the latency is a reason: a trial costs throughput. */
  private boolean isTrialDue(double meanNanos, long nowNanos) {
    if (settledNanos == 0 || meanNanos < settledNanos) {
      settledNanos = meanNanos;
    }
    return meanNanos > SUSPICIOUS_RISE * settledNanos
        || (limit < ceiling && nowNanos >= nextTrialNanos);
  }

  private boolean isWorthwhile(double rate, double base) {
    double change = Math.abs(trial / limit - 1);
    return upward
        ? rate > base * (1 + LEAST_ELASTICITY * change)
        : rate > base * (1 - LEAST_ELASTICITY * change);
  }

  private void settle(boolean accepted, double rate, double meanNanos, long nowNanos) {
    if (accepted) {
      limit = Math.max(1, trial);
      baseRate = Math.max(rate, trialRate);
      settledNanos = meanNanos;
      pauseNanos = FIRST_PAUSE_NANOS;
      startTrial(nowNanos);
      return;
    }
    trial = 0;
    upward = !upward;
    nextTrialNanos = nowNanos + pauseNanos;
    pauseNanos = Math.min(LONGEST_PAUSE_NANOS, pauseNanos * 2);
  }

  private void startTrial(long nowNanos) {
    if (upward && limit >= ceiling) {
      upward = false;
    }
    trial = upward ? Math.min(ceiling, Math.ceil(limit / STEP)) : Math.floor(limit * STEP);
    if (trial < 1) {
      trial = 0;
      upward = true;
      nextTrialNanos = nowNanos + pauseNanos;
    }
  }

  private void lower(double factor, long nowNanos) {
    limit = Math.max(1, limit() * factor);
    trial = 0;
    confirming = false;
    upward = true;
    nextTrialNanos = nowNanos + FIRST_PAUSE_NANOS;
  }

  private static final class Window {
    private final long startNanos;
    private int count;
    private int binding;
    private int shed;
    private double nanos;

    Window(long startNanos) {
      this.startNanos = startNanos;
    }

    void add(Sample s) {
      count++;
      nanos += s.ownNanos();
      if (s.binding()) {
        binding++;
      }
    }

    boolean isFull(long nowNanos) {
      return count >= WINDOW_SAMPLES
          || (count >= LEAST_SAMPLES && nowNanos - startNanos >= WINDOW_NANOS)
          || (shed > 0 && nowNanos - startNanos >= SHED_NANOS);
    }

    boolean isBinding() {
      return binding >= BINDING_SHARE * count;
    }

    double rate(long nowNanos) {
      return count / (double) (nowNanos - startNanos);
    }

    double meanNanos() {
      return nanos / count;
    }
  }
}
