package org.pomelohollow.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Event.AppendOutcome;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.junit.RecordedEffects;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;

class PublicationTest {
  private static final Duration STEP = Duration.ofMillis(300);
  private static final Duration TIMEOUT = Duration.ofSeconds(6);

  private final ManualClock clock = new ManualClock();
  private final List<LogEntry> log = new ArrayList<>();
  private final List<LogEntry> delayedAppends = new ArrayList<>();
  private final List<Operator> operators = new ArrayList<>();

  @Property(seed = "4301", tries = 1000, shrinking = ShrinkingMode.OFF)
  void everyOutcomeAgreesWithTheLog(@ForAll Random random) {
    log.clear(); // All tries use the same instance.
    operators.clear();
    for (int i = 0; i < 4; i++) {
      operators.add(
          new Operator("op" + i, random.nextInt(3) == 0 ? Optional.of(0L) : Optional.empty()));
    }
    for (int i = 0; i < 150; i++) {
      clock.advance(STEP.dividedBy(operators.size()));
      operators.get(random.nextInt(operators.size())).step(random);
      if (random.nextInt(4) == 0) {
        storeDelayedAppend(random);
      }
    }
    while (!delayedAppends.isEmpty()) {
      storeDelayedAppend(random);
    }
    for (Operator o : operators) {
      o.finish();
    }
    long accepted = operators.stream().filter(o -> versions(o.id) == 1).count();
    Statistics.label("accepted of 4").collect(accepted);
    assertEquals(accepted, stateOfWholeLog().version());
  }

  @Example
  void theSecondOfTwoConcurrentChangesIsRejectedWithBothStates() {
    Operator a = new Operator("a", Optional.of(0L));
    Operator b = new Operator("b", Optional.of(0L));
    a.read(log.size());
    b.read(log.size());
    a.endAppend(true, AppendOutcome.UNKNOWN);
    b.endAppend(true, AppendOutcome.APPENDED);
    a.read(log.size());
    b.read(log.size());
    assertEquals(Optional.of(new Publication.Accepted(1)), a.publication.outcome());
    Publication.Rejected r =
        assertInstanceOf(Publication.Rejected.class, b.publication.outcome().orElseThrow());
    assertEquals(0, r.base());
    assertEquals("a", r.current().changeId());
    assertEquals(0, r.baseState().orElseThrow().version());
  }

  @Example
  void anUnreachableLogLeavesTheChangeUnsent() {
    Operator a = new Operator("a", Optional.empty());
    clock.advance(TIMEOUT);
    a.handle(new Event.Tick());
    assertEquals(Optional.of(new Publication.Unknown("a", false)), a.publication.outcome());
  }

  @Example
  void aRestoreNeedsNoState() {
    RecordedEffects effects = new RecordedEffects();
    Publication p =
        new Publication(
            new Publication.Change("r", text("r"), OptionalLong.of(99), true),
            clock.getAsLong() + TIMEOUT.toNanos(),
            new SplittableRandom(1),
            effects);
    p.handle(new Event.Tick(), clock.getAsLong());
    LogEntry e = effects.take(Effect.Append.class).get(0).entry();
    List<StoredEntry> stored = List.of(new StoredEntry(7, Optional.of(e)));
    p.handle(new Event.LogRead(LogStream.CONFIG, 0, stored, 7, 8), clock.getAsLong());
    assertEquals(Optional.of(new Publication.Accepted(100)), p.outcome());
  }

  private ConfigState stateOfWholeLog() {
    ConfigFold f = new ConfigFold(new IgnoringListener());
    f.applyRead(slice(0, log.size()));
    return f.state().orElseThrow();
  }

  /** Returns the number of versions that a change created, over the whole log. */
  private long versions(String id) {
    return stateOfWholeLog().changeIds().stream().filter(id::equals).count();
  }

  /** Stores one of the appends whose result the operator does not know. */
  private void storeDelayedAppend(Random random) {
    if (!delayedAppends.isEmpty()) {
      log.add(delayedAppends.remove(random.nextInt(delayedAppends.size())));
    }
  }

  private Event.LogRead slice(long from, int end) {
    List<StoredEntry> entries = new ArrayList<>();
    for (int o = (int) from; o < end; o++) {
      entries.add(new StoredEntry(o, Optional.of(log.get(o))));
    }
    return new Event.LogRead(LogStream.CONFIG, from, entries, 0, end);
  }

  private static String text(String name) {
    return "name = \"" + name + "\"\npriorities = [\"high\"]\n[zones.a]\n";
  }

  /** An operator, who publishes again with the same change identifier if the outcome is unknown. */
  private final class Operator {
    private final String id;
    private final Optional<Long> base;
    private RecordedEffects effects;
    private Publication publication;

    Operator(String id, Optional<Long> base) {
      this.id = id;
      this.base = base;
      start();
    }

    private void start() {
      effects = new RecordedEffects();
      OptionalLong b = base.map(OptionalLong::of).orElse(OptionalLong.empty());
      publication =
          new Publication(
              new Publication.Change(id, text(id), b, false),
              clock.getAsLong() + TIMEOUT.toNanos(),
              new SplittableRandom(id.hashCode()),
              effects);
    }

    void step(Random random) {
      if (publication.outcome().orElse(null) instanceof Publication.Unknown) {
        start();
      }
      switch (random.nextInt(6)) {
        case 0 -> handle(new Event.LogReadFailed(LogStream.CONFIG));
        case 1 -> read(random.nextInt(log.size() + 1));
        case 2 -> read(log.size());
        default -> handle(new Event.Tick());
      }
      int appendCase = random.nextInt(6);
      if (appendCase < 4) {
        endAppend(appendCase < 2, appendCase == 0 ? AppendOutcome.APPENDED : AppendOutcome.UNKNOWN);
      } else if (appendCase == 4) {
        effects.take(Effect.Append.class).forEach(a -> delayedAppends.add(a.entry()));
        handle(new Event.AppendCompleted(1, AppendOutcome.UNKNOWN));
      }
    }

    void endAppend(boolean stored, AppendOutcome outcome) {
      for (Effect.Append a : effects.take(Effect.Append.class)) {
        if (stored) {
          log.add(a.entry());
        }
        handle(new Event.AppendCompleted(a.appendId(), outcome));
      }
    }

    void read(int end) {
      handle(slice(0, end));
    }

    void handle(Event e) {
      publication.handle(e, clock.getAsLong());
    }

    /** Runs the publication with a reliable log, and compares its outcome with the whole log. */
    void finish() {
      for (int i = 0; i < 200 && !hasFinalOutcome(); i++) {
        if (publication.outcome().isPresent()) {
          start();
        }
        clock.advance(STEP);
        read(log.size());
        endAppend(true, AppendOutcome.APPENDED);
      }
      assertTrue(hasFinalOutcome(), id);
      if (publication.outcome().orElseThrow() instanceof Publication.Accepted a) {
        assertEquals(OptionalLong.of(a.version()), stateOfWholeLog().versionOf(id));
        assertEquals(1, versions(id));
      } else {
        assertFalse(stateOfWholeLog().versionOf(id).isPresent(), id);
      }
    }

    private boolean hasFinalOutcome() {
      return publication.outcome().filter(o -> !(o instanceof Publication.Unknown)).isPresent();
    }
  }

  /** Ignores every decision. */
  private static final class IgnoringListener implements ConfigFoldListener {
    @Override
    public void onAccepted(ConfigState s, org.pomelohollow.document.Document d) {}

    @Override
    public void onRejected(
        String changeId, org.pomelohollow.errors.ErrorCode code, ConfigState current) {}

    @Override
    public void onCheckpoint(ConfigState s) {}
  }
}
