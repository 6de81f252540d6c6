package org.pomelohollow.daemon.internal.log;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.decision.Event;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.wire.LogClient;
import org.pomelohollow.wire.LogSlice;
import org.pomelohollow.wire.WireCodec;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Reads every stream of the log all the time, and appends. Confined to the event loop. */
public final class LogPump {
  private static final int MAX_RECORDS = 500;

  /** Documents are long, so fewer of them are read at once. */
  private static final int MAX_CONFIG_RECORDS = 20;

  private static final Duration WAIT = Duration.ofSeconds(1);
  private static final Duration BACKOFF = Duration.ofMillis(500);

  private final LogClient client;
  private final WireCodec codec;
  private final Scheduler loop;
  private final Set<LogStream> streams;
  private final Consumer<Event> events;
  private final Map<LogStream, Long> next = new EnumMap<>(LogStream.class);
  private final Disposable.Composite running = Disposables.composite();

  /**
   * Creates a pump that does not run yet.
   *
   * @param client client of the log
   * @param codec codec of entries
   * @param loop the event loop
   * @param streams streams to read
   * @param events takes what happens
   */
  public LogPump(
      LogClient client,
      WireCodec codec,
      Scheduler loop,
      Set<LogStream> streams,
      Consumer<Event> events) {
    this.streams = Set.copyOf(streams);
    this.client = client;
    this.codec = codec;
    this.loop = loop;
    this.events = events;
  }

  /** Starts to read every stream from its beginning. */
  public void start() {
    for (LogStream s : streams) {
      next.put(s, 0L);
      running.add(Mono.defer(() -> read(s)).repeat(() -> !running.isDisposed()).subscribe());
    }
  }

  /** Stops reading. */
  public void stop() {
    running.dispose();
  }

  /**
   * Sets where the next read of a stream starts.
   *
   * @param s the stream
   * @param offset lowest offset to read
   */
  public void readFrom(LogStream s, long offset) {
    next.put(s, offset);
  }

  /**
   * Appends an entry.
   *
   * @param appendId told again when the append ends
   * @param s the stream
   * @param entry the entry
   */
  public void append(long appendId, LogStream s, LogEntry entry) {
    client
        .append(s.streamName(), entry.key(), codec.encode(entry))
        .publishOn(loop)
        .subscribe(
            offset ->
                events.accept(new Event.AppendCompleted(appendId, Event.AppendOutcome.APPENDED)),
            t -> events.accept(new Event.AppendCompleted(appendId, outcome(t))));
  }

  private Mono<Void> read(LogStream s) {
    long from = next.get(s);
    return client
        .read(s.streamName(), from, s == LogStream.CONFIG ? MAX_CONFIG_RECORDS : MAX_RECORDS, WAIT)
        .publishOn(loop)
        .doOnNext(slice -> take(s, from, slice))
        .then(
            client
                .pollInterval(s.streamName())
                .map(d -> Mono.delay(d, loop).then())
                .orElse(Mono.empty()))
        .onErrorResume(PomelohollowException.class, e -> failed(s));
  }

  private Mono<Void> failed(LogStream s) {
    return Mono.<Void>fromRunnable(() -> events.accept(new Event.LogReadFailed(s)))
        .subscribeOn(loop)
        .then(Mono.delay(BACKOFF, loop).then());
  }

  private void take(LogStream s, long from, LogSlice slice) {
    List<StoredEntry> entries =
        slice.records().stream()
            .map(r -> new StoredEntry(r.offset(), codec.decodeEntry(r.content().array())))
            .toList();
    if (next.get(s) == from) {
      next.put(s, entries.isEmpty() ? from : entries.get(entries.size() - 1).offset() + 1);
    }
    events.accept(new Event.LogRead(s, from, entries, slice.oldestOffset(), slice.endOffset()));
  }

  private static Event.AppendOutcome outcome(Throwable t) {
    boolean known = t instanceof PomelohollowException e && e.code() != ErrorCode.LOG_UNAVAILABLE;
    return known ? Event.AppendOutcome.FAILED : Event.AppendOutcome.UNKNOWN;
  }
}
