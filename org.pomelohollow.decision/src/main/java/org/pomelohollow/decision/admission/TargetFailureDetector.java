package org.pomelohollow.decision.admission;

import java.util.concurrent.TimeUnit;

/**
 * Detects that the target fails many of its requests, or has stopped responding, while it goes on
 * sending heartbeats.
 *
 * <p>It answers a target that is sound by its own account and fails callers: entry daemons prefer
 * the other targets of the service while this one counts as failing. A target that stays so counts
 * as failing again soon after each trial, for longer each time.
 */
final class TargetFailureDetector {
  /** Latest requests that are looked at. */
  private static final int WINDOW_REQUESTS = 32;

  /** Failures before their share means anything. */
  private static final int MIN_FAILURES = 4;

  /**
   * Share of failures from which on the target counts as failing. Sound targets fail less than one
   * in a hundred; callers notice a target that fails one in four.
   */
  private static final double FAILING_SHARE = 0.25;

  private static final long INITIAL_HOLD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_HOLD_DOUBLINGS = 3;

  /** Time without a new detection after which the next one is held for the initial time again. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final boolean[] failures = new boolean[WINDOW_REQUESTS];
  private int count;
  private int nextIndex;
  private int failureCount;
  private int detections;
  private boolean failing;
  private long heldUntilNanos;

  /**
   * Records that a request ended at the target.
   *
   * @param failed whether the target failed it: a failure as response, none in time, or a broken
   *     connection
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordEnd(boolean failed, long nowNanos) {
    if (isFailing(nowNanos)) {
      return; // Requests from before the detection say nothing about the time after it.
    }
    if (count == WINDOW_REQUESTS) {
      failureCount -= failures[nextIndex] ? 1 : 0;
    } else {
      count++;
    }
    failures[nextIndex] = failed;
    failureCount += failed ? 1 : 0;
    nextIndex = (nextIndex + 1) % WINDOW_REQUESTS;
    if (failureCount >= MIN_FAILURES && failureCount >= FAILING_SHARE * count) {
      detect(nowNanos);
    }
  }

  /** Records that most running requests take far longer than their routes usually do. */
  void recordStall(long nowNanos) {
    if (!isFailing(nowNanos)) {
      detect(nowNanos);
    }
  }

  /** Returns whether entry daemons should prefer other targets. */
  boolean isFailing(long nowNanos) {
    if (failing && nowNanos - heldUntilNanos >= 0) {
      failing = false;
      clearWindow();
    }
    return failing;
  }

  /** Forgets everything: another incarnation of the target has started. */
  void reset() {
    failing = false;
    detections = 0;
    clearWindow();
  }

  private void detect(long nowNanos) {
    if (detections > 0 && nowNanos - heldUntilNanos > FORGET_NANOS) {
      detections = 0;
    }
    failing = true;
    heldUntilNanos = nowNanos + (INITIAL_HOLD_NANOS << Math.min(detections, MAX_HOLD_DOUBLINGS));
    detections++;
  }

  private void clearWindow() {
    count = 0;
    nextIndex = 0;
    failureCount = 0;
  }
}
