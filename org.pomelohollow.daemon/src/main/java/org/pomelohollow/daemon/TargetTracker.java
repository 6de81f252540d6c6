package org.pomelohollow.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.daemon.internal.call.TargetClient;
import org.pomelohollow.daemon.protocol.TargetLifecycleListener;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.tinylog.Logger;

/**
 * Tracks the target of this host and passes its announcements, withdrawal and loss to the node. A
 * target is lost if it stops announcing itself or cannot be reached.
 */
final class TargetTracker implements TargetLifecycleListener {
  private final TargetClient client;
  private final long timeoutNanos;
  private final Consumer<Event> events;
  private Optional<TargetAnnouncement> current = Optional.empty();
  private long lastAnnouncedNanos;

  TargetTracker(TargetClient client, Duration timeout, Consumer<Event> events) {
    this.client = client;
    this.timeoutNanos = timeout.toNanos();
    this.events = events;
  }

  @Override
  public void targetAnnounced(TargetAnnouncement a) {
    if (current.filter(a::isSameIncarnation).isEmpty()) {
      Logger.info(
          "target: {} of {} announced at {} with {} slots, cold for {} ms",
          a.instance(),
          a.service(),
          a.address(),
          a.slots(),
          a.coldRemainingMillis());
    }
    current = Optional.of(a);
    lastAnnouncedNanos = System.nanoTime();
    client.setTarget(a);
    events.accept(new Event.TargetAnnounced(a));
  }

  @Override
  public void targetWithdrawn() {
    Logger.info("target: withdrawn, gets no new requests");
    current = Optional.empty();
    events.accept(new Event.TargetWithdrawn());
  }

  /** Reports the target lost: it accepts no connection, or another target has its address. */
  void targetUnreachable() {
    current.ifPresent(a -> reportLost(a, "not reachable at its address"));
  }

  /**
   * Reports the target lost if it has not announced itself within the timeout.
   *
   * @param nowNanos time of the monotonic clock, in nanoseconds
   */
  void checkTimeout(long nowNanos) {
    if (current.isPresent() && nowNanos - lastAnnouncedNanos > timeoutNanos) {
      reportLost(
          current.get(),
          "no announcement for "
              + Duration.ofNanos(nowNanos - lastAnnouncedNanos).toMillis()
              + " ms");
    }
  }

  private void reportLost(TargetAnnouncement a, String reason) {
    Logger.warn("target: {} lost: {}", a.instance(), reason);
    current = Optional.empty();
    events.accept(new Event.TargetLost(a.service()));
  }
}
