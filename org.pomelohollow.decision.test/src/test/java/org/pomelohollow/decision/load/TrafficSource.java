package org.pomelohollow.decision.load;

import java.util.function.DoubleUnaryOperator;

/**
 * A group of callers that send requests of one kind.
 *
 * @param name name of the source and of the route of its requests
 * @param account client account
 * @param rank rank of the priority
 * @param bulk whether the requests are large transfers
 * @param service service that the requests are for
 * @param requestsPerSecond request rate as a function of the time in seconds since the start
 * @param meanWorkMillis mean service time of a request, in milliseconds
 * @param timeoutMillis timeout of a request, in milliseconds
 * @param resends number of times that a caller sends a failed request again, each 1 ms after the
 *     failure
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

  /** Returns a source of short requests of priority {@code rank} at a constant rate. */
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
