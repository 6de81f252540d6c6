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
 * @param rate requests a second at a time in seconds
 * @param workMillis mean service time, in milliseconds
 * @param timeoutMillis time until the caller gives up
 * @param resends times that a refused caller sends again without a pause
 */
public record Source(
    String name,
    String account,
    int rank,
    boolean bulk,
    String service,
    DoubleUnaryOperator rate,
    double workMillis,
    long timeoutMillis,
    int resends) {

  /** Short calls of priority {@code rank} at a steady rate. */
  public static Source steady(String name, int rank, String service, double rate, double work) {
    return new Source(name, name, rank, false, service, t -> rate, work, 1_000, 0);
  }

  public Source withRate(DoubleUnaryOperator r) {
    return new Source(name, account, rank, bulk, service, r, workMillis, timeoutMillis, resends);
  }

  public Source withResends(int n) {
    return new Source(name, account, rank, bulk, service, rate, workMillis, timeoutMillis, n);
  }

  public Source asBulk() {
    return new Source(name, account, rank, true, service, rate, workMillis, timeoutMillis, resends);
  }
}
