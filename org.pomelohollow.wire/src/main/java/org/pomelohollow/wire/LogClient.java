package org.pomelohollow.wire;

import java.time.Duration;
import java.util.Optional;
import reactor.core.publisher.Mono;

/** Client for the platform's append-only log. */
public interface LogClient {
  /**
   * Appends a record to a stream.
   *
   * @param stream name of the stream
   * @param record the record, not empty
   * @return the offset of the record; after an error with {@link
   *     org.pomelohollow.errors.ErrorCode#LOG_UNAVAILABLE} the record may or may not be in the
   *     stream
   */
  Mono<Long> append(String stream, byte[] record);

  /**
   * Appends a record with a compaction key. A log that supports compaction keeps only the newest
   * record of each key; the default implementation ignores the key.
   *
   * @param stream name of the stream
   * @param key key of the record, empty if it has none
   * @param record the record, not empty
   * @return the offset of the record, as for {@link #append(String, byte[])}
   */
  default Mono<Long> append(String stream, Optional<String> key, byte[] record) {
    return append(stream, record);
  }

  /**
   * Returns the delay after each read of a stream, for logs that are polled.
   *
   * @param stream name of the stream
   * @return the delay before the next read; empty if it follows immediately
   */
  default Optional<Duration> pollInterval(String stream) {
    return Optional.empty();
  }

  /**
   * Reads records of a stream (long poll). Completes when there is a record at or above the offset,
   * or after the wait.
   *
   * @param stream name of the stream
   * @param from lowest offset of the records to return
   * @param max maximum number of records
   * @param wait maximum time to wait for a first record
   * @return the records that were read, or an error with {@link
   *     org.pomelohollow.errors.ErrorCode#LOG_UNAVAILABLE}
   */
  Mono<LogSlice> read(String stream, long from, int max, Duration wait);
}
