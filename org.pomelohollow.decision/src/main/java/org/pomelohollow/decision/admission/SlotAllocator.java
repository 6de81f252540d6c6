package org.pomelohollow.decision.admission;

import java.util.Optional;

/**
 * Allocates the slots of a target to short and bulk requests.
 *
 * <p>Bulk requests hold at most half of the slots while there are short requests, and all but an
 * eighth otherwise. When both kinds are queued, the more important request starts first; at equal
 * priority, the kind that holds fewer slots does.
 */
final class SlotAllocator {
  /** Time after the last short request for which bulk requests are bound to half of the slots. */
  private static final long SHORT_REQUEST_RECENT_NANOS = 10_000_000_000L;

  private static final int BULK_SHARE_DIVISOR = 2;
  private static final int RESERVE_DIVISOR = 8;

  private int shortInFlight;
  private int bulkInFlight;
  private long lastShortOfferNanos = Long.MIN_VALUE;

  int inFlight() {
    return shortInFlight + bulkInFlight;
  }

  int bulkInFlight() {
    return bulkInFlight;
  }

  void recordOffer(boolean bulk, long nowNanos) {
    if (!bulk) {
      lastShortOfferNanos = nowNanos;
    }
  }

  void acquire(boolean bulk) {
    if (bulk) {
      bulkInFlight++;
    } else {
      shortInFlight++;
    }
  }

  void release(boolean bulk) {
    if (bulk) {
      bulkInFlight--;
    } else {
      shortInFlight--;
    }
  }

  /**
   * Chooses the request to start next.
   *
   * @param shortRequest first queued short request, if any
   * @param bulkRequest first queued bulk request, if any
   * @param limit highest number of requests in flight
   * @param nowNanos current monotonic time, in nanoseconds
   * @return one of the two, or empty if neither may start
   */
  Optional<Ticket> choose(
      Optional<Ticket> shortRequest, Optional<Ticket> bulkRequest, int limit, long nowNanos) {
    if (inFlight() >= limit) {
      return Optional.empty();
    }
    if (bulkRequest.isEmpty() || bulkInFlight >= bulkBound(limit, nowNanos)) {
      return shortRequest;
    }
    if (shortRequest.isEmpty()) {
      return bulkRequest;
    }
    int order =
        shortRequest.get().context().priority().compareTo(bulkRequest.get().context().priority());
    if (order == 0) {
      return shortInFlight <= bulkInFlight ? shortRequest : bulkRequest;
    }
    return order < 0 ? shortRequest : bulkRequest;
  }

  private int bulkBound(int limit, long nowNanos) {
    boolean shortSeen =
        lastShortOfferNanos != Long.MIN_VALUE
            && nowNanos - lastShortOfferNanos < SHORT_REQUEST_RECENT_NANOS;
    int bound =
        shortSeen ? limit / BULK_SHARE_DIVISOR : limit - Math.max(1, limit / RESERVE_DIVISOR);
    return Math.max(1, bound);
  }
}
