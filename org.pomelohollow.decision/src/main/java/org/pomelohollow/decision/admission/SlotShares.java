package org.pomelohollow.decision.admission;

import java.util.Optional;

/**
 * Divides the slots of a target between short calls and large transfers.
 *
 * <p>Transfers hold at most half of the slots while there are calls, and all but an eighth
 * otherwise. When both wait, the more important goes first; of equal priority, the kind that holds
 * fewer slots.
 */
final class SlotShares {
  private static final long CALLS_SEEN_NANOS = 10_000_000_000L;
  private static final int SHARE_DIVISOR = 2;
  private static final int RESERVE_DIVISOR = 8;

  private int calls;
  private int transfers;
  private long callOfferedNanos = Long.MIN_VALUE;

  int inFlight() {
    return calls + transfers;
  }

  int transfers() {
    return transfers;
  }

  void offered(boolean bulk, long nowNanos) {
    if (!bulk) {
      callOfferedNanos = nowNanos;
    }
  }

  void started(boolean bulk) {
    if (bulk) {
      transfers++;
    } else {
      calls++;
    }
  }

  void ended(boolean bulk) {
    if (bulk) {
      transfers--;
    } else {
      calls--;
    }
  }

  /** Chooses between the next call and the next transfer; empty if neither may start. */
  Optional<Ticket> choose(
      Optional<Ticket> call, Optional<Ticket> transfer, int limit, long nowNanos) {
    if (inFlight() >= limit) {
      return Optional.empty();
    }
    Optional<Ticket> t = transfer.filter(x -> transfers < transferBound(limit, nowNanos));
    if (t.isEmpty() || call.isEmpty()) {
      return call.or(() -> t);
    }
    int order = call.get().context().priority().compareTo(t.get().context().priority());
    if (order == 0) {
      return calls <= transfers ? call : t;
    }
    return order < 0 ? call : t;
  }

  private int transferBound(int limit, long nowNanos) {
    boolean callsSeen =
        callOfferedNanos != Long.MIN_VALUE && nowNanos - callOfferedNanos < CALLS_SEEN_NANOS;
    int bound = callsSeen ? limit / SHARE_DIVISOR : limit - Math.max(1, limit / RESERVE_DIVISOR);
    return Math.max(1, bound);
  }
}
