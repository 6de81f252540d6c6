package org.pomelohollow.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.daemon.internal.call.TargetClient;
import org.pomelohollow.daemon.internal.http.TargetServer;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.tinylog.Logger;

/** Follows the announcements of the target. */
final class TargetWatch implements TargetServer.TargetEvents {
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
    boolean first = last.filter(l -> l.instance().equals(a.instance())).isEmpty();
    if (first) {
      Logger.info("target: {} announced at {} with {} slots", a.service(), a.address(), a.slots());
    }
    last = Optional.of(a);
    lastNanos = System.nanoTime();
    client.setTarget(a.address(), a.connections());
    events.accept(new Event.TargetAnnounced(a));
  }

  @Override
  public void withdrawn() {
    Logger.info("target: withdrawn");
    last = Optional.empty();
    events.accept(new Event.TargetWithdrawn());
  }

  void check(long nowNanos) {
    if (last.isPresent() && nowNanos - lastNanos > timeoutNanos) {
      Logger.warn("target: no announcement for {} ms", (nowNanos - lastNanos) / 1_000_000);
      TargetAnnouncement lost = last.get();
      last = Optional.empty();
      events.accept(new Event.TargetLost(lost.service()));
    }
  }
}
