package org.pomelohollow.bench.overload;

import java.util.Map;

/**
 * What one mode achieved.
 *
 * @param mode the mode
 * @param goodputShare goodput during the surge over the targets' capacity
 * @param p50Millis median latency of served requests during the surge, in milliseconds
 * @param p99Millis 99th percentile of the same
 * @param servedByKind share of requests served during the surge, by kind
 * @param worstAccountShare served share of the worst account that stays in its share
 * @param wastedShare target time spent on requests that were cancelled, over all target time
 * @param recoverySeconds time from the surge's end until goodput is at 95% of before
 * @param runsPerRequest runs at targets over requests sent during the whole run
 */
public record ModeResult(
    Mode mode,
    double goodputShare,
    double p50Millis,
    double p99Millis,
    Map<String, Double> servedByKind,
    double worstAccountShare,
    double wastedShare,
    double recoverySeconds,
    double runsPerRequest) {
  /** Copies the map. */
  public ModeResult {
    servedByKind = Map.copyOf(servedByKind);
  }
}
