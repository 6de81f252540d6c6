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
 * Publishes one change and determines its outcome. It reads the stream to its end, appends the
 * change, retries the append while it is not known to be stored, and reads on until the fold has
 * accepted the change or moved past its base. Not thread-safe.
 */
public final class Publication {
  private static final long APPEND_ID = 1;
  private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long MAX_BACKOFF_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Change change;
  private final long deadlineNanos;
  private final RandomGenerator random;
  private final EffectSink effects;
  private final ConfigFold fold = new ConfigFold(new FoldListener());
  private OptionalLong base;
  private Optional<ConfigState> baseState = Optional.empty();
  private Optional<Outcome> outcome = Optional.empty();
  private boolean caughtUp;
  private boolean appending;

  /** Whether the change was handed to the log at least once. */
  private boolean sent;

  /** Whether the log has confirmed that it stored the change. */
  private boolean stored;

  private long backoffNanos = FIRST_BACKOFF_NANOS;
  private long nextAppendNanos = Long.MIN_VALUE;

  /**
   * Creates a publication that has appended nothing yet.
   *
   * @param change the change, with a valid document as its text
   * @param deadlineNanos time at which to give up, in nanoseconds of the monotonic clock
   * @param random source of jitter for the backoff
   * @param effects receives the appends and the offsets to read from
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

  /** Returns the outcome, empty while it is not determined. */
  public Optional<Outcome> outcome() {
    return outcome;
  }

  /** Returns the state of the fold at the last offset read, empty if it has none. */
  public Optional<ConfigState> state() {
    return fold.state();
  }

  /**
   * Reacts to an event.
   *
   * @param event a tick, a read of the configuration stream, or the end of an append; others are
   *     ignored
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void handle(Event event, long nowNanos) {
    if (outcome.isPresent()) {
      return;
    }
    if (event instanceof Event.LogRead r && r.stream() == LogStream.CONFIG) {
      applyRead(r);
    } else if (event instanceof Event.AppendCompleted e) {
      handleAppendEnded(e, nowNanos);
    }
    if (outcome.isEmpty() && nowNanos >= deadlineNanos) {
      outcome = Optional.of(new Unknown(change.changeId(), sent));
    } else if (outcome.isEmpty()) {
      appendIfDue(nowNanos);
    }
  }

  private void applyRead(Event.LogRead r) {
    fold.applyRead(r);
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
    recordBaseState(s.get());
    determineOutcome(s.get());
  }

  /** Records a state if it is the state at the base version. */
  private void recordBaseState(ConfigState s) {
    if (base.isPresent() && s.version() == base.getAsLong()) {
      baseState = Optional.of(s);
    }
  }

  /**
   * Determines the outcome once the change is accepted, or once no copy of it can be accepted any
   * more. The outcome stays unknown if the state no longer holds all change identifiers since the
   * base: the change may be among those dropped.
   */
  private void determineOutcome(ConfigState s) {
    OptionalLong accepted = s.versionOf(change.changeId());
    if (accepted.isPresent()) {
      outcome = Optional.of(new Accepted(accepted.getAsLong()));
      return;
    }
    if (base.isEmpty() || s.version() <= base.getAsLong()) {
      return;
    }
    boolean holdsAllChangesSinceBase = s.version() - base.getAsLong() <= s.changeIds().size();
    if (change.restore() || holdsAllChangesSinceBase) {
      outcome =
          Optional.of(new Rejected(ErrorCode.CONFIG_BASE_MISMATCH, base.getAsLong(), s, baseState));
    } else {
      outcome = Optional.of(new Unknown(change.changeId(), sent));
    }
  }

  private void handleAppendEnded(Event.AppendCompleted e, long nowNanos) {
    appending = false;
    stored |= e.outcome() == Event.AppendOutcome.APPENDED;
    nextAppendNanos = nowNanos + backoffNanos / 2 + random.nextLong(backoffNanos / 2);
    backoffNanos = Math.min(2 * backoffNanos, MAX_BACKOFF_NANOS);
  }

  private void appendIfDue(long nowNanos) {
    boolean atBase =
        change.restore() || fold.state().filter(s -> s.version() == base.orElse(-1)).isPresent();
    if (!caughtUp || !atBase || appending || stored || nowNanos < nextAppendNanos) {
      return;
    }
    appending = true;
    sent = true;
    effects.emit(new Effect.Append(APPEND_ID, LogStream.CONFIG, change.entry(base.getAsLong())));
  }

  /**
   * A change to publish.
   *
   * @param changeId identifier of the change, the same in every attempt to publish it
   * @param text TOML text of a valid document
   * @param base version that the operator started from; empty for the version at the end of the
   *     stream
   * @param restore whether to restore the configuration at the version after the base, after all
   *     daemons and log entries with it were lost
   */
  public record Change(String changeId, String text, OptionalLong base, boolean restore) {
    /** Checks the fields. */
    public Change {
      Objects.requireNonNull(changeId, "changeId");
      Objects.requireNonNull(text, "text");
      if (restore && base.isEmpty()) {
        throw new IllegalArgumentException("a restore needs a base: change " + changeId);
      }
    }

    private LogEntry entry(long version) {
      return restore
          ? new ConfigRestore(changeId, version + 1, text)
          : new ConfigProposal(changeId, version, text);
    }
  }

  /** Outcome of the publication of a change. */
  public sealed interface Outcome {}

  /**
   * The change is accepted. This is final.
   *
   * @param version version that the change created
   */
  public record Accepted(long version) implements Outcome {}

  /**
   * The change is rejected. This is final for its base.
   *
   * @param code reason of the rejection
   * @param base version that the operator started from
   * @param current state that has moved past the base
   * @param baseState state at the base version, if the stream still contained it
   */
  public record Rejected(
      ErrorCode code, long base, ConfigState current, Optional<ConfigState> baseState)
      implements Outcome {}

  /**
   * The outcome could not be determined, within the time or at all from the stream.
   *
   * @param changeId identifier of the change; publishing it again under the same identifier
   *     determines the outcome
   * @param sent whether this publication handed the change to the log
   */
  public record Unknown(String changeId, boolean sent) implements Outcome {}

  /** Records the state at the base version when the fold reaches it. */
  private final class FoldListener implements ConfigFoldListener {
    @Override
    public void onAccepted(ConfigState s, Document d) {
      recordBaseState(s);
    }

    @Override
    public void onRejected(String changeId, ErrorCode code, ConfigState current) {
      // The outcome follows from whether the fold has moved past the base.
    }

    @Override
    public void onCheckpoint(ConfigState s) {
      // The fold itself makes use of the checkpoint.
    }
  }
}
