package org.pomelohollow.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.daemon.internal.call.TargetClient;
import org.pomelohollow.daemon.protocol.TargetEvents;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.tinylog.Logger;

/** Follows the announcements of the target. */
final class TargetWatch implements TargetEvents {
  private final TargetClient client;
  private final long timeoutNanos;
  private final Consumer<Event> events;
  private Optional<TargetAnnouncement> last = Optional.empty();
  private long lastNanos;

  TargetWatch(TargetClient client, Duration timeout, Consumer<Event> events) {
    this.client = client;
    this.timeoutNanos = timeout.toNanos();
    this.events = events;
  }

  @Override
  public void announced(TargetAnnouncement a) {
    if (last.filter(a::isSameIncarnation).isEmpty()) {
      Logger.info(
          "target: {} of {} announced at {} with {} slots, cold for {} ms",
          a.instance(),
          a.service(),
          a.address(),
          a.slots(),
          a.coldRemainingMillis());
    }
    last = Optional.of(a);
    lastNanos = System.nanoTime();
    client.setTarget(a);
    events.accept(new Event.TargetAnnounced(a));
  }

  @Override
  public void withdrawn() {
    Logger.info("target: withdrawn");
    last = Optional.empty();
    events.accept(new Event.TargetWithdrawn());
  }

  /** The target takes no connection, or another one has its address. */
  void unreachable() {
    last.ifPresent(a -> lose(a, "not reachable at its address"));
  }

  void check(long nowNanos) {
    if (last.isPresent() && nowNanos - lastNanos > timeoutNanos) {
      lose(last.get(), "silent for " + Duration.ofNanos(nowNanos - lastNanos).toMillis() + " ms");
    }
  }

  private void lose(TargetAnnouncement a, String why) {
    Logger.warn("target: {} lost: {}", a.instance(), why);
    last = Optional.empty();
    events.accept(new Event.TargetLost(a.service()));
  }
}
