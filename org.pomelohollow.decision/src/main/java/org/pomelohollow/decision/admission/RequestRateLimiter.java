package org.pomelohollow.decision.admission;

import java.util.Optional;

/**
 * Limiter for the request rate that the target named in its responses: a token bucket that starts
 * empty. The limit holds until the target responds without one.
 */
final class RequestRateLimiter {
  /** Capacity of the bucket, as the time in which it fills. */
  private static final double BURST_SECONDS = 0.5;

  /**
   * Least rate, in requests per second. A target that accepts no requests still gets one from time
   * to time, since only its responses tell when the limit ends.
   */
  private static final double MIN_RATE = 0.25;

  /** Time that a request may wait for its turn before it is better tried elsewhere. */
  private static final double QUEUE_SECONDS = 0.25;

  /** Weight of the newest request in the mean time that requests are held. */
  private static final double HELD_SMOOTHING = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  private Optional<Double> requestsPerSecond = Optional.empty();
  private boolean heardFromTarget;
  private long namedNanos;
  private double tokens;
  private long filledNanos;
  private double meanHeldSeconds;

  /** Returns the rate that the target named, empty without a limit. */
  Optional<Double> requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Forgets the limit, for another incarnation of the target. */
  void reset() {
    requestsPerSecond = Optional.empty();
    heardFromTarget = false;
  }

  /**
   * Applies a response of the target. Responses may arrive out of order, so one without a limit
   * ends the limit only if its request was sent after the limit was last named.
   *
   * @param named rate that the response names, in requests per second
   * @param sentNanos when the request was sent, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordResponse(Optional<Double> named, long sentNanos, long nowNanos) {
    heardFromTarget = true;
    if (named.isPresent()) {
      setRate(named.get(), nowNanos);
      namedNanos = nowNanos;
    } else if (requestsPerSecond.isPresent() && sentNanos - namedNanos >= 0) {
      requestsPerSecond = Optional.empty();
    }
  }

  /**
   * Applies a limit that an entry daemon knows of, unless the target itself has responded.
   *
   * @param rate rate in requests per second
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void adopt(double rate, long nowNanos) {
    if (!heardFromTarget && requestsPerSecond.isEmpty()) {
      setRate(rate, nowNanos);
      namedNanos = nowNanos;
    }
  }

  /** Returns whether a request may start now. */
  boolean mayStart(long nowNanos) {
    if (requestsPerSecond.isEmpty()) {
      return true;
    }
    refill(nowNanos);
    return tokens >= 1;
  }

  /** Records that a request started, and takes its token. */
  void recordStart(long nowNanos) {
    if (requestsPerSecond.isPresent()) {
      refill(nowNanos);
      tokens -= 1;
    }
  }

  /** Records how long the target held a request, in nanoseconds. */
  void recordHeld(long heldNanos) {
    double s = heldNanos / NANOS_PER_SECOND;
    meanHeldSeconds += meanHeldSeconds == 0 ? s : HELD_SMOOTHING * (s - meanHeldSeconds);
  }

  /**
   * Returns the longest queue at the limited rate: the requests that start within {@link
   * #QUEUE_SECONDS}.
   *
   * @param bound longest queue without a limit
   */
  int queueBound(int bound) {
    return requestsPerSecond
        .map(r -> (int) Math.min(bound, Math.max(1, Math.ceil(r * QUEUE_SECONDS))))
        .orElse(bound);
  }

  /**
   * Returns the requests in flight at the limited rate, by Little's law, rounded up.
   *
   * @param limit limit of the requests in flight otherwise
   * @return number of requests, at most the limit
   */
  int equivalentLimit(int limit) {
    return requestsPerSecond
        .map(r -> (int) Math.min(limit, Math.max(1, Math.ceil(r * meanHeldSeconds))))
        .orElse(limit);
  }

  private void setRate(double rate, long nowNanos) {
    if (requestsPerSecond.isEmpty()) {
      tokens = 0;
      filledNanos = nowNanos;
    } else {
      refill(nowNanos);
    }
    requestsPerSecond = Optional.of(rate);
  }

  private void refill(long nowNanos) {
    double rate = Math.max(MIN_RATE, requestsPerSecond.orElseThrow());
    double passedSeconds = Math.max(0, nowNanos - filledNanos) / NANOS_PER_SECOND;
    tokens = Math.min(Math.max(1, rate * BURST_SECONDS), tokens + passedSeconds * rate);
    filledNanos = nowNanos;
  }
}
