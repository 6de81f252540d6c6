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
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Reads every stream of the log continuously by long polling, and appends entries. Confined to the
 * event loop.
 */
public final class LogPoller {
  private static final int MAX_RECORDS_PER_READ = 500;

  /** Fewer than for the other streams, because configuration documents are long. */
  private static final int MAX_CONFIG_RECORDS_PER_READ = 20;

  private static final Duration READ_WAIT = Duration.ofSeconds(1);
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final LogClient client;
  private final WireCodec codec;
  private final Scheduler loop;
  private final Set<LogStream> streams;
  private final Consumer<Event> events;
  private final Map<LogStream, Long> nextOffsets = new EnumMap<>(LogStream.class);
  private final Disposable.Composite readers = Disposables.composite();

  /**
   * Creates an instance that does not read yet.
   *
   * @param client client of the log
   * @param codec codec of log entries
   * @param loop the event loop
   * @param streams streams to read
   * @param events receives the records that were read, failed reads and completed appends
   */
  public LogPoller(
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

  /** Starts reading every stream from its beginning. */
  public void start() {
    for (LogStream s : streams) {
      nextOffsets.put(s, 0L);
      readers.add(Mono.defer(() -> readOnce(s)).repeat(() -> !readers.isDisposed()).subscribe());
    }
  }

  /** Stops reading. */
  public void stop() {
    readers.dispose();
  }

  /**
   * Sets the offset at which the next read of a stream starts.
   *
   * @param s the stream
   * @param offset offset of the first record to read
   */
  public void seek(LogStream s, long offset) {
    nextOffsets.put(s, offset);
  }

  /**
   * Appends an entry.
   *
   * @param appendId identifier that the completion event of this append carries
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

  private Mono<Void> readOnce(LogStream s) {
    long from = nextOffsets.get(s);
    return client
        .read(
            s.streamName(),
            from,
            s == LogStream.CONFIG ? MAX_CONFIG_RECORDS_PER_READ : MAX_RECORDS_PER_READ,
            READ_WAIT)
        .publishOn(loop)
        .doOnNext(slice -> handleSlice(s, from, slice))
        .then(
            client
                .pollInterval(s.streamName())
                .map(d -> Mono.delay(d, loop).then())
                .orElse(Mono.empty()))
        .onErrorResume(PomelohollowException.class, e -> reportFailure(s));
  }

  private Mono<Void> reportFailure(LogStream s) {
    return Mono.<Void>fromRunnable(() -> events.accept(new Event.LogReadFailed(s)))
        .subscribeOn(loop)
        .then(Mono.delay(RETRY_DELAY, loop).then());
  }

  private void handleSlice(LogStream s, long from, LogSlice slice) {
    List<StoredEntry> entries =
        slice.records().stream()
            .map(r -> new StoredEntry(r.offset(), codec.decodeEntry(r.content().array())))
            .toList();
    entries.stream()
        .filter(e -> e.entry().isEmpty())
        .forEach(e -> Logger.warn("log: {} has an unreadable record at {}", s, e.offset()));
    if (nextOffsets.get(s) == from) {
      nextOffsets.put(s, entries.isEmpty() ? from : entries.get(entries.size() - 1).offset() + 1);
    }
    events.accept(new Event.LogRead(s, from, entries, slice.oldestOffset(), slice.endOffset()));
  }

  private static Event.AppendOutcome outcome(Throwable t) {
    boolean known = t instanceof PomelohollowException e && e.code() != ErrorCode.LOG_UNAVAILABLE;
    return known ? Event.AppendOutcome.FAILED : Event.AppendOutcome.UNKNOWN;
  }
}
