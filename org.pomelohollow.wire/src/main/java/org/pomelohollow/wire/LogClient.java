package org.pomelohollow.wire;

import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;

/** Client of the platform's append-only log. */
public interface LogClient {
  /**
   * Appends a record.
   *
   * @param stream name of the stream
   * @param record the record, not empty
   * @return the record's offset; an error with {@link
   *     org.pomelohollow.errors.ErrorCode#LOG_UNAVAILABLE} says that the record may or may not be
   *     in the stream
   */
  Mono<Long> append(String stream, byte[] record);

  /**
   * Appends a record that replaces earlier ones with the same key, where the log can keep just the
   * newest record of each key.
   *
   * @param stream name of the stream
   * @param key key of the record, empty if it has none
   * @param record the record, not empty
   * @return as {@link #append(String, byte[])}
   */
  default Mono<Long> append(String stream, Optional<String> key, byte[] record) {
    return append(stream, record);
  }

  /**
   * Returns the time between two reads of a stream that need not be followed closely.
   *
   * @param stream name of the stream
   * @return the time, empty if the next read follows at once
   */
  default Optional<Duration> pause(String stream) {
    return Optional.empty();
  }

  /**
   * Reads records. Answers when there is a record at or above the offset, or after the wait.
   *
   * @param stream name of the stream
   * @param from lowest offset
   * @param max most records
   * @param wait longest wait for a first record
   * @return the slice, or an error with {@link org.pomelohollow.errors.ErrorCode#LOG_UNAVAILABLE}
   */
  Mono<LogSlice> read(String stream, long from, int max, Duration wait);
}
