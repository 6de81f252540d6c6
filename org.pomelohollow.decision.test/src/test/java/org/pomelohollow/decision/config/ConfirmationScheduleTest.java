package org.pomelohollow.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

class ConfirmationScheduleTest {
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private static final Duration FRESH = Duration.ofMillis(100);
  private static final MemberId SELF = new MemberId("a", 1);
  private static final Roster ALONE =
      Roster.of(
          SELF,
          List.of(
              new Member(
                  SELF, new Endpoint("10.0.0.1", 1), new ZoneId("z"), Optional.empty(), false)));

  private final ManualClock clock = new ManualClock();
  private final ConfirmationSchedule schedule = new ConfirmationSchedule();

  /**
   * Peers that have seen a store restored may keep a version that a daemon which started later
   * cannot read from it. Guards against a question at each tick.
   */
  @Example
  void aDaemonThatCannotReadTheVersionOfItsPeersAsksSeldom() {
    assertTrue(countQuestions(FRESH, true) <= 10);
  }

  @Example
  void aDaemonWithoutAnAnswerAsksEveryTwoSeconds() {
    int questions = countQuestions(MINUTE, false);
    assertTrue(questions >= 28 && questions <= 32, questions + " questions");
  }

  @Example
  void aDaemonWhoseKnowledgeIsFreshAsksNothing() {
    assertEquals(0, countQuestions(FRESH, false));
  }

  private int countQuestions(Duration age, boolean behind) {
    int n = 0;
    for (Duration d = Duration.ZERO; d.compareTo(MINUTE) < 0; d = d.plus(TICK)) {
      long now = clock.advance(TICK);
      n += schedule.startIfDue(ALONE, age.toNanos(), behind, now) ? 1 : 0;
    }
    return n;
  }
}
