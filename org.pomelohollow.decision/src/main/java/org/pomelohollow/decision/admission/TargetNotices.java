package org.pomelohollow.decision.admission;

import java.util.Optional;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetNotice;

/** Keeps what the target of this daemon said of itself in its responses. */
public final class TargetNotices {
  private final RequestRateLimiter requestRate = new RequestRateLimiter();
  private Optional<TargetIncarnation> target = Optional.empty();
  private boolean leaving;

  TargetNotices() {}

  /** Returns what the target said that is still valid, empty if it said nothing. */
  public Optional<TargetNotice> current() {
    return target
        .map(t -> new TargetNotice(t, requestRate.requestsPerSecond(), leaving))
        .filter(n -> !n.isEmpty());
  }

  /**
   * Applies what the target said in a response, unless another incarnation sent it.
   *
   * @param n what the response said
   * @param sentNanos monotonic time at which the request was sent, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the target became limited, unlimited or leaving by it
   */
  public boolean recordResponse(TargetNotice n, long sentNanos, long nowNanos) {
    if (!isCurrent(n)) {
      return false;
    }
    boolean wasLimited = isLimited();
    boolean wasLeaving = leaving;
    leaving |= n.leaving();
    requestRate.recordResponse(n.requestsPerSecond(), sentNanos, nowNanos);
    return wasLimited != isLimited() || wasLeaving != leaving;
  }

  /**
   * Applies what an entry daemon knows of the target, unless it is about another incarnation. A
   * limit counts only as long as the target has not responded to this daemon, which was then
   * started after the target.
   *
   * @param n what the target said to the entry daemon
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the target became limited, unlimited or leaving by it
   */
  public boolean adopt(TargetNotice n, long nowNanos) {
    if (!isCurrent(n)) {
      return false;
    }
    boolean wasLimited = isLimited();
    boolean wasLeaving = leaving;
    leaving |= n.leaving();
    n.requestsPerSecond().ifPresent(r -> requestRate.adopt(r, nowNanos));
    return wasLimited != isLimited() || wasLeaving != leaving;
  }

  /** Forgets what was said if the target is another incarnation than before. */
  void setTarget(TargetIncarnation t) {
    if (target.filter(t::equals).isEmpty()) {
      requestRate.reset();
      leaving = false;
      target = Optional.of(t);
    }
  }

  /** Returns whether the target is about to end and gets no new requests. */
  boolean isLeaving() {
    return leaving;
  }

  RequestRateLimiter requestRate() {
    return requestRate;
  }

  private boolean isLimited() {
    return requestRate.requestsPerSecond().isPresent();
  }

  private boolean isCurrent(TargetNotice n) {
    return target.filter(n.target()::equals).isPresent();
  }
}
