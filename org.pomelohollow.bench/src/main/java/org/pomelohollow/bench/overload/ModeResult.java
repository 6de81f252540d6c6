package org.pomelohollow.bench.overload;

import java.util.Map;

/**
 * Result of one mode.
 *
 * @param mode the mode
 * @param goodputShare goodput during the surge as a share of the targets' capacity
 * @param p50Millis median latency of served requests during the surge, in milliseconds
 * @param p99Millis 99th percentile of that latency, in milliseconds
 * @param servedByKind share of the requests sent during the surge that were served, by kind
 * @param worstAccountShare lowest served share among the accounts that do not cause the surge
 * @param wastedShare share of the targets' busy time that was spent on cancelled requests
 * @param recoverySeconds time from the end of the surge until goodput is back at 95 % of its
 *     earlier rate
 * @param runsPerRequest requests started by the targets in the whole run, per request sent during
 *     the surge
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
