package org.pomelohollow.decision.admission;

/**
 * Searches by trials for the smallest limit that does not reduce throughput.
 *
 * <p>A trial compares the throughput of a window at a lower or higher limit with that of a window
 * at the current limit. If more requests in flight do not raise the throughput, the target queues
 * them internally; if fewer requests in flight lower it, the target does not, however slow it has
 * become. After the incremental steps of Heiss and Wagner, "Adaptive Load Control in Transaction
 * Processing Systems", VLDB 1991.
 */
public final class ThroughputLimit implements LimitAlgorithm {
  /** Ratio of the lower to the higher limit of a trial. */
  private static final double STEP_FACTOR = 0.75;

  /** Relative change of the throughput per relative change of the limit that justifies a limit. */
  private static final double MIN_ELASTICITY = 0.2;

  /** Ratio of the latency to that at the last accepted limit above which a trial starts at once. */
  private static final double TRIAL_LATENCY_RATIO = 1.3;

  /** Factor by which the limit is lowered after a window in which the target shed requests. */
  private static final double SHED_FACTOR = 0.9;

  /** Factor by which the limit grows after a window in which it was rarely reached. */
  private static final double IDLE_GROWTH_FACTOR = 1.1;

  /** Share of a window's requests at the limit from which on the limit was the bottleneck. */
  private static final double MIN_AT_LIMIT_SHARE = 0.9;

  private static final int MAX_WINDOW_SAMPLES = 2_000;
  private static final int MIN_WINDOW_SAMPLES = 400;
  private static final long WINDOW_NANOS = 1_000_000_000L;
  private static final long SHED_WINDOW_NANOS = 100_000_000L;

  /** Pause after a rejected trial; it doubles with each further one. */
  private static final long INITIAL_PAUSE_NANOS = 1_000_000_000L;

  private static final long MAX_PAUSE_NANOS = 10_000_000_000L;

  private int ceiling = 1;
  private double limit = 1;
  private double trialLimit;
  private double trialRate;
  private boolean confirming;
  private boolean upward;
  private double baseRate;
  private double baseSelfTimeNanos;
  private long pauseNanos = INITIAL_PAUSE_NANOS;
  private long nextTrialNanos = Long.MIN_VALUE;
  private Window window = new Window(Long.MIN_VALUE);

  @Override
  public int limit() {
    double current = trialLimit > 0 && !confirming ? trialLimit : limit;
    return Math.max(1, (int) Math.min(Math.round(current), ceiling));
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
    trialLimit = 0;
    confirming = false;
    baseSelfTimeNanos = 0;
    pauseNanos = INITIAL_PAUSE_NANOS;
    nextTrialNanos = Long.MIN_VALUE;
    window = new Window(Long.MIN_VALUE);
  }

  @Override
  public void onSample(Sample s, long nowNanos) {
    if (window.startNanos == Long.MIN_VALUE) {
      window = new Window(nowNanos);
    }
    if (s.completion() == Completion.SHED) {
      window.shedCount++;
    } else {
      window.add(s);
    }
    if (!window.isFull(nowNanos)) {
      return;
    }
    Window w = window;
    window = new Window(nowNanos);
    if (w.shedCount > 0) {
      decrease(SHED_FACTOR, nowNanos);
    } else if (w.isMostlyAtLimit()) {
      evaluate(w, nowNanos);
    } else {
      trialLimit = 0;
      confirming = false;
      limit = Math.min(ceiling, limit * IDLE_GROWTH_FACTOR + 1);
    }
  }

  private void evaluate(Window w, long nowNanos) {
    double rate = w.rate(nowNanos);
    if (confirming) {
      confirming = false;
      endTrial(isWorthwhile(trialRate, Math.max(baseRate, rate)), rate, w.meanNanos(), nowNanos);
    } else if (trialLimit > 0) {
      trialRate = rate;
      confirming = isWorthwhile(rate, baseRate);
      if (!confirming) {
        endTrial(false, rate, w.meanNanos(), nowNanos);
      }
    } else if (isTrialDue(w.meanNanos(), nowNanos)) {
      baseRate = rate;
      baseSelfTimeNanos = w.meanNanos();
      startTrial(nowNanos);
    }
  }

  /**
   * Returns whether to start a trial. At the ceiling only a rise of the latency starts one, since a
   * trial costs throughput.
   */
  private boolean isTrialDue(double meanNanos, long nowNanos) {
    if (baseSelfTimeNanos == 0 || meanNanos < baseSelfTimeNanos) {
      baseSelfTimeNanos = meanNanos;
    }
    return meanNanos > TRIAL_LATENCY_RATIO * baseSelfTimeNanos
        || (limit < ceiling && nowNanos >= nextTrialNanos);
  }

  /** Returns whether the throughput at the trial limit justifies that limit. */
  private boolean isWorthwhile(double rate, double base) {
    double change = Math.abs(trialLimit / limit - 1);
    return upward
        ? rate > base * (1 + MIN_ELASTICITY * change)
        : rate > base * (1 - MIN_ELASTICITY * change);
  }

  private void endTrial(boolean accepted, double rate, double meanNanos, long nowNanos) {
    if (accepted) {
      limit = Math.max(1, trialLimit);
      baseRate = Math.max(rate, trialRate);
      baseSelfTimeNanos = meanNanos;
      pauseNanos = INITIAL_PAUSE_NANOS;
      startTrial(nowNanos);
      return;
    }
    trialLimit = 0;
    upward = !upward;
    nextTrialNanos = nowNanos + pauseNanos;
    pauseNanos = Math.min(MAX_PAUSE_NANOS, pauseNanos * 2);
  }

  private void startTrial(long nowNanos) {
    if (upward && limit >= ceiling) {
      upward = false;
    }
    trialLimit =
        upward
            ? Math.min(ceiling, Math.ceil(limit / STEP_FACTOR))
            : Math.floor(limit * STEP_FACTOR);
    if (trialLimit < 1) {
      trialLimit = 0;
      upward = true;
      nextTrialNanos = nowNanos + pauseNanos;
    }
  }

  private void decrease(double factor, long nowNanos) {
    limit = Math.max(1, limit() * factor);
    trialLimit = 0;
    confirming = false;
    upward = true;
    nextTrialNanos = nowNanos + INITIAL_PAUSE_NANOS;
  }

  private static final class Window {
    private final long startNanos;
    private int count;
    private int atLimitCount;
    private int shedCount;
    private double totalSelfTimeNanos;

    Window(long startNanos) {
      this.startNanos = startNanos;
    }

    void add(Sample s) {
      count++;
      totalSelfTimeNanos += s.selfTimeNanos();
      if (s.atLimit()) {
        atLimitCount++;
      }
    }

    boolean isFull(long nowNanos) {
      return count >= MAX_WINDOW_SAMPLES
          || (count >= MIN_WINDOW_SAMPLES && nowNanos - startNanos >= WINDOW_NANOS)
          || (shedCount > 0 && nowNanos - startNanos >= SHED_WINDOW_NANOS);
    }

    boolean isMostlyAtLimit() {
      return atLimitCount >= MIN_AT_LIMIT_SHARE * count;
    }

    double rate(long nowNanos) {
      return count / (double) (nowNanos - startNanos);
    }

    double meanNanos() {
      return totalSelfTimeNanos / count;
    }
  }
}
