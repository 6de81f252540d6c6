package org.pomelohollow.decision.config;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;

/**
 * Publishes one change and finds out what became of it. It follows the stream to its end, appends
 * the change, repeats the append while its answer is lost, and reads on until the fold has accepted
 * the change or moved past its base. Confined to one thread.
 */
public final class Publication {
  private static final long APPEND_ID = 1;
  private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Change change;
  private final long deadlineNanos;
  private final RandomGenerator random;
  private final EffectSink effects;
  private final ConfigFold fold = new ConfigFold(new Decisions());
  private OptionalLong base;
  private Optional<ConfigState> baseState = Optional.empty();
  private Optional<Outcome> outcome = Optional.empty();
  private boolean caughtUp;
  private boolean appending;
  private boolean sent;
  private boolean stored;
  private long backoffNanos = FIRST_BACKOFF_NANOS;
  private long nextAppendNanos = Long.MIN_VALUE;

  /**
   * Creates a publication that has sent nothing yet.
   *
   * @param change what to publish; its text is a valid document
   * @param deadlineNanos when to give up, in nanoseconds of the monotonic clock
   * @param random source of jitter
   * @param effects takes appends and places to read from
   */
  public Publication(
      Change change, long deadlineNanos, RandomGenerator random, EffectSink effects) {
    this.change = change;
    this.deadlineNanos = deadlineNanos;
    this.random = random;
    this.effects = effects;
    this.base = change.base();
    this.caughtUp = change.restore();
  }

  /** Returns the outcome, empty while it is open. */
  public Optional<Outcome> outcome() {
    return outcome;
  }

  /** Returns the state at the last offset that was read, empty without one. */
  public Optional<ConfigState> state() {
    return fold.state();
  }

  /**
   * Reacts to an event.
   *
   * @param event a tick, a read of the configuration stream, or the end of an append
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void handle(Event event, long nowNanos) {
    if (outcome.isPresent()) {
      return;
    }
    if (event instanceof Event.LogRead r && r.stream() == LogStream.CONFIG) {
      read(r);
    } else if (event instanceof Event.AppendCompleted e) {
      appended(e, nowNanos);
    }
    if (outcome.isEmpty() && nowNanos >= deadlineNanos) {
      outcome = Optional.of(new Unknown(change.changeId(), sent));
    } else if (outcome.isEmpty()) {
      appendIfDue(nowNanos);
    }
  }

  private void read(Event.LogRead r) {
    fold.read(r);
    effects.emit(new Effect.SeekStream(LogStream.CONFIG, fold.nextOffset()));
    Optional<ConfigState> s = fold.state();
    if (s.isEmpty()) {
      return;
    }
    if (fold.nextOffset() >= r.endOffset()) {
      caughtUp = true;
      if (base.isEmpty()) {
        base = OptionalLong.of(s.get().version());
      }
    }
    keepBase(s.get());
    settle(s.get());
  }

  private void keepBase(ConfigState s) {
    if (base.isPresent() && s.version() == base.getAsLong()) {
      baseState = Optional.of(s);
    }
  }

  /** Decides once the change was accepted, or once no copy of it can be any more. */
  private void settle(ConfigState s) {
    OptionalLong v = s.versionOf(change.changeId());
    if (v.isPresent()) {
      outcome = Optional.of(new Accepted(v.getAsLong()));
      return;
    }
    if (base.isEmpty() || s.version() <= base.getAsLong()) {
      return;
    }
    boolean remembersAll = s.version() - base.getAsLong() <= s.changeIds().size();
    if (change.restore() || remembersAll) {
      outcome =
          Optional.of(new Rejected(ErrorCode.CONFIG_BASE_MISMATCH, base.getAsLong(), s, baseState));
    } else {
      outcome = Optional.of(new Unknown(change.changeId(), sent));
    }
  }

  private void appended(Event.AppendCompleted e, long nowNanos) {
    appending = false;
    stored |= e.outcome() == Event.AppendOutcome.APPENDED;
    nextAppendNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos / 2);
    backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
  }

  private void appendIfDue(long nowNanos) {
    boolean fits =
        change.restore() || fold.state().filter(s -> s.version() == base.orElse(-1)).isPresent();
    if (!caughtUp || !fits || appending || stored || nowNanos < nextAppendNanos) {
      return;
    }
    appending = true;
    sent = true;
    effects.emit(new Effect.Append(APPEND_ID, LogStream.CONFIG, change.entry(base.getAsLong())));
  }

  /**
   * What to publish.
   *
   * @param changeId identifier of the change, the same in every try to publish it
   * @param text TOML text of a valid document
   * @param base version that the operator started from; empty for the one at the end of the stream
   * @param restore whether the change starts anew at the version after the base, after total loss
   */
  public record Change(String changeId, String text, OptionalLong base, boolean restore) {
    /** Checks the fields. */
    public Change {
      Objects.requireNonNull(changeId, "changeId");
      Objects.requireNonNull(text, "text");
      if (restore && base.isEmpty()) {
        throw new IllegalArgumentException("a restore needs a base");
      }
    }

    private LogEntry entry(long version) {
      return restore
          ? new ConfigRestore(changeId, version + 1, text)
          : new ConfigProposal(changeId, version, text);
    }
  }

  /** What became of a change. */
  public sealed interface Outcome {}

  /**
   * The change is accepted for good.
   *
   * @param version version that it brought
   */
  public record Accepted(long version) implements Outcome {}

  /**
   * The change is rejected for good, under its base.
   *
   * @param code why
   * @param base version that the operator started from
   * @param current state that the change met
   * @param before state at the base, if the stream still showed it
   */
  public record Rejected(
      ErrorCode code, long base, ConfigState current, Optional<ConfigState> before)
      implements Outcome {}

  /**
   * Time ran out.
   *
   * @param changeId identifier to publish again with, which settles the outcome
   * @param sent whether this publication handed the change to the log at all
   */
  public record Unknown(String changeId, boolean sent) implements Outcome {}

  /** Keeps the state at the base while the fold passes it. */
  private final class Decisions implements ConfigFoldListener {
    @Override
    public void accepted(ConfigState s, Document d) {
      keepBase(s);
    }

    @Override
    public void rejected(String changeId, ErrorCode code, ConfigState current) {
      // What counts is whether the fold moved past the base.
    }

    @Override
    public void checkpoint(ConfigState s) {
      // The fold uses it.
    }
  }
}
