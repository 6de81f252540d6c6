package org.pomelohollow.decision.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.MemberId;

/** Share of the new version at one daemon, from the announcements that it has received. */
final class ShareInForce {
  /** Time for which an announcement is valid at its receiver. */
  static final long VALID_NANOS = 2_000_000_000L;

  private final String orderId;
  private final Map<MemberId, Received> received = new HashMap<>();
  private Optional<RolloutAnnouncement> last = Optional.empty();

  ShareInForce(String orderId) {
    this.orderId = orderId;
  }

  void add(MemberId from, RolloutAnnouncement a, long nowNanos) {
    received.put(from, new Received(a, nowNanos));
    valid(nowNanos).ifPresent(v -> last = Optional.of(v));
  }

  /** Returns the valid announcement of the first evaluator that was heard. */
  Optional<RolloutAnnouncement> valid(long nowNanos) {
    received.values().removeIf(r -> nowNanos - r.atNanos() >= VALID_NANOS);
    return received.keySet().stream()
        .min(Evaluators.order(orderId))
        .map(m -> received.get(m).announcement());
  }

  /** Returns the announcement that was last valid, even if it is not any more. */
  Optional<RolloutAnnouncement> last() {
    return last;
  }

  /**
   * Returns the share. Without a valid announcement the canary gets nothing, and a switch stays
   * where it is: the old targets may be about to be stopped.
   */
  double share(long nowNanos) {
    return standing(nowNanos).map(RolloutAnnouncement::share).orElse(0.0);
  }

  /** Returns the announcement that the share is taken from. */
  Optional<RolloutAnnouncement> standing(long nowNanos) {
    return valid(nowNanos).or(() -> last.filter(a -> a.step().isSwitch()));
  }

  private record Received(RolloutAnnouncement announcement, long atNanos) {}
}
