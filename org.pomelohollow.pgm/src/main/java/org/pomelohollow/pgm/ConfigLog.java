package org.pomelohollow.pgm;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Event.AppendOutcome;
import org.pomelohollow.decision.config.ConfigFold;
import org.pomelohollow.decision.config.ConfigFoldListener;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.decision.config.Publication;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.LogClient;
import org.pomelohollow.wire.LogSlice;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/** Blocking client of the configuration stream for operator commands. Not thread-safe. */
final class ConfigLog implements AutoCloseable {
  private static final int MAX_RECORDS_PER_READ = 100;
  private static final Duration READ_WAIT = Duration.ofMillis(200);
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private final WireCodec codec = new WireCodec();
  private final LoopResources loops = LoopResources.create("operator", 1, true);
  private final LogClient client;
  private long nextReadOffset;

  ConfigLog(Endpoint address) {
    client = new HttpLogClient(address, loops, codec);
  }

  /**
   * Publishes a change and waits for its outcome.
   *
   * @param change the change
   * @param timeout time after which the outcome is reported as unknown
   * @return the outcome
   */
  Publication.Outcome publish(Publication.Change change, Duration timeout) {
    Deque<Effect> effects = new ArrayDeque<>();
    long deadline = System.nanoTime() + timeout.toNanos();
    Publication p =
        new Publication(change, deadline, new SplittableRandom(System.nanoTime()), effects::add);
    p.handle(new Event.Tick(), System.nanoTime());
    while (p.outcome().isEmpty()) {
      while (!effects.isEmpty()) {
        execute(effects.remove(), p);
      }
      p.handle(read(), System.nanoTime());
    }
    return p.outcome().get();
  }

  /**
   * Reads the stream to its end.
   *
   * @param timeout longest time spent on reads
   * @return the configuration state at the end of the stream
   * @throws PomelohollowException if within the timeout the log cannot be read or its records do
   *     not yield a complete state
   */
  ConfigState readCurrent(Duration timeout) {
    ConfigFold fold = new ConfigFold(new NoOpListener());
    long deadline = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() < deadline) {
      if (read() instanceof Event.LogRead r) {
        fold.applyRead(r);
        nextReadOffset = fold.nextOffset();
        if (fold.state().isPresent() && nextReadOffset >= r.endOffset()) {
          return fold.state().get();
        }
      }
    }
    throw new PomelohollowException(
        ErrorCode.LOG_UNAVAILABLE,
        "the configuration could not be read from the log within " + timeout.toSeconds() + " s");
  }

  @Override
  public void close() {
    loops.dispose();
  }

  private void execute(Effect e, Publication p) {
    if (e instanceof Effect.SeekStream r) {
      nextReadOffset = r.offset();
    } else if (e instanceof Effect.Append a) {
      p.handle(new Event.AppendCompleted(a.appendId(), append(a)), System.nanoTime());
    }
  }

  private AppendOutcome append(Effect.Append a) {
    return client
        .append(a.stream().streamName(), codec.encode(a.entry()))
        .map(offset -> AppendOutcome.APPENDED)
        .onErrorReturn(PomelohollowException.class, AppendOutcome.UNKNOWN)
        .block();
  }

  private Event read() {
    long from = nextReadOffset;
    return client
        .read(LogStream.CONFIG.streamName(), from, MAX_RECORDS_PER_READ, READ_WAIT)
        .map(s -> toEvent(from, s))
        .onErrorResume(
            PomelohollowException.class,
            e ->
                Mono.<Event>just(new Event.LogReadFailed(LogStream.CONFIG))
                    .delayElement(RETRY_DELAY))
        .block();
  }

  private Event toEvent(long from, LogSlice s) {
    List<StoredEntry> entries =
        s.records().stream()
            .map(r -> new StoredEntry(r.offset(), codec.decodeEntry(r.content().array())))
            .toList();
    return new Event.LogRead(LogStream.CONFIG, from, entries, s.oldestOffset(), s.endOffset());
  }

  /** Ignores the events of the fold, of which only the state is used. */
  private static final class NoOpListener implements ConfigFoldListener {
    @Override
    public void onAccepted(ConfigState state, Document document) {}

    @Override
    public void onRejected(String changeId, ErrorCode code, ConfigState current) {}

    @Override
    public void onCheckpoint(ConfigState state) {}
  }
}
