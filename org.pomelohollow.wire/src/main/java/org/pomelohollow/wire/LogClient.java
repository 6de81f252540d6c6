package org.pomelohollow.wire;

import java.time.Duration;
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
