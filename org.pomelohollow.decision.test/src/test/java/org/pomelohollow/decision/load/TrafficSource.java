package org.pomelohollow.decision.load;

import java.util.function.DoubleUnaryOperator;

/**
 * Callers of one kind.
 *
 * @param name also the name of the route
 * @param account client account
 * @param rank rank of the priority
 * @param bulk whether requests are large transfers
 * @param service service that is called
 * @param requestsPerSecond requests a second at a time in seconds
 * @param meanWorkMillis mean service time, in milliseconds
 * @param timeoutMillis time until the caller gives up
 * @param resends times that a refused caller sends again without a pause
 */
public record TrafficSource(
    String name,
    String account,
    int rank,
    boolean bulk,
    String service,
    DoubleUnaryOperator requestsPerSecond,
    double meanWorkMillis,
    long timeoutMillis,
    int resends) {

  /** Short calls of priority {@code rank} at a steady rate. */
  public static TrafficSource steady(
      String name, int rank, String service, double rate, double work) {
    return new TrafficSource(name, name, rank, false, service, t -> rate, work, 1_000, 0);
  }

  public TrafficSource withRate(DoubleUnaryOperator r) {
    return new TrafficSource(
        name, account, rank, bulk, service, r, meanWorkMillis, timeoutMillis, resends);
  }

  public TrafficSource withResends(int n) {
    return new TrafficSource(
        name, account, rank, bulk, service, requestsPerSecond, meanWorkMillis, timeoutMillis, n);
  }

  public TrafficSource asBulk() {
    return new TrafficSource(
        name,
        account,
        rank,
        true,
        service,
        requestsPerSecond,
        meanWorkMillis,
        timeoutMillis,
        resends);
  }
}
