package org.pomelohollow.decision.quarantine;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;

/**
 * A target crashes with a request, and nothing else is sent to it: its daemon notices the crash
 * only when the next incarnation announces itself. A broken connection alone makes no suspect.
 */
class LateCrashNoticeTest {
  private static final long SUSPECT = 1;
  private static final long OTHER = 2;
  private static final long TICK_NANOS = Duration.ofMillis(100).toNanos();

  private final QuarantineController quarantine =
      new QuarantineController(
          new MemberId("h", 1),
          new QuarantineSettings(
              2,
              QuarantineSettings.DEFAULT.suspectNanos(),
              QuarantineSettings.DEFAULT.quarantineNanos(),
              QuarantineSettings.DEFAULT.maxWaitNanos(),
              QuarantineSettings.DEFAULT.maxSuspects(),
              QuarantineSettings.DEFAULT.fanOut(),
              false),
          new SplittableRandom(1),
          e -> {});
  private long now;

  @Test
  void aRequestIsBlamedForACrashThatIsNoticedSecondsAfterItsConnectionBroke() {
    announce("i-1");
    breakConnection();
    pass(Duration.ofSeconds(3));
    announce("i-2");
    assertTrue(quarantine.isSuspect(SUSPECT, now));
  }

  @Test
  void aRequestIsNotBlamedIfTheTargetAnnouncedItselfAfterItsConnectionBroke() {
    announce("i-1");
    breakConnection();
    pass(Duration.ofMillis(1_500));
    announce("i-1");
    pass(Duration.ofSeconds(2));
    announce("i-2");
    assertFalse(quarantine.isSuspect(SUSPECT, now));
  }

  /** A heartbeat that was sent before the crash may arrive after it. */
  @Test
  void aHeartbeatRightAfterTheBreakProvesNothing() {
    announce("i-1");
    breakConnection();
    pass(Duration.ofMillis(200));
    announce("i-1");
    pass(Duration.ofSeconds(3));
    announce("i-2");
    assertTrue(quarantine.isSuspect(SUSPECT, now));
  }

  @Test
  void aRequestIsNotBlamedIfTheTargetRespondedToAnotherAfterItsConnectionBroke() {
    announce("i-1");
    breakConnection();
    pass(Duration.ofMillis(1_500));
    quarantine.requestStarted(OTHER, false);
    quarantine.requestEnded(OTHER, false, true);
    pass(Duration.ofSeconds(1));
    announce("i-2");
    assertFalse(quarantine.isSuspect(SUSPECT, now));
  }

  private void breakConnection() {
    quarantine.requestStarted(SUSPECT, false);
    quarantine.connectionBroken(SUSPECT, false, now);
  }

  private void pass(Duration d) {
    for (long end = now + d.toNanos(); now < end; ) {
      now += TICK_NANOS;
      quarantine.handle(new Event.Tick(), now);
    }
  }

  private void announce(String instance) {
    quarantine.handle(
        new Event.TargetAnnounced(
            new TargetAnnouncement(
                new ServiceId("s"), new Endpoint("10.0.0.1", 1), instance, 8, 8, false, 0)),
        now);
  }
}
