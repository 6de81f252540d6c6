package org.pomelohollow.decision.request;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.StableHash;
import org.pomelohollow.model.Verdict;

/**
 * Chooses when a caller should retry a request that was refused because something is missing that
 * usually returns within seconds: a target, a peer, the configuration or the home of an account.
 *
 * <p>It answers the load after a loss of many hosts. A caller that is not told when to retry does
 * so at once, while the same thing is still missing, and has no retry left when it is back.
 */
final class OutageRetryDelay {
  /** Time in which a restarted fleet finds its targets again. */
  private static final long MEAN_MILLIS = TimeUnit.SECONDS.toMillis(1);

  private OutageRetryDelay() {}

  /**
   * Adds a retry delay to a verdict that has none, if the reason of the refusal is an outage.
   *
   * @param v the verdict
   * @param requestId identifier of the request, from which the spread of the delay is derived
   * @return the verdict with a delay of half to one and a half times the mean
   */
  static Verdict addTo(Verdict v, String requestId) {
    if (v instanceof Verdict.NotRun n && n.retryAfterMillis() == 0 && isOutage(n.code())) {
      long spread = Math.floorMod(StableHash.of(requestId), MEAN_MILLIS);
      return new Verdict.NotRun(n.code(), MEAN_MILLIS / 2 + spread);
    }
    return v;
  }

  private static boolean isOutage(ErrorCode c) {
    return switch (c) {
      case NO_TARGET, NO_CONFIGURATION, UNREACHABLE, QUOTA_UNAVAILABLE -> true;
      default -> false;
    };
  }
}
