package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.TargetNotice;
import reactor.core.publisher.Flux;

/** Receives the outcome of one HTTP exchange with the target. */
public interface TargetExchangeListener {
  /**
   * The head of a response has arrived, which may also say that the request has not run. Called
   * before the other methods.
   *
   * @param notice what the target says of itself in the head
   * @param load load that the target reports in the head, if it does
   * @param sentNanos monotonic time at which the request was sent, in nanoseconds
   */
  void headReceived(TargetNotice notice, Optional<ReportedLoad> load, long sentNanos);

  /**
   * The head of the response has arrived; the body follows as a stream.
   *
   * @param status HTTP status code
   * @param response header fields and body
   */
  void responseStarted(int status, StreamedResponse response);

  /**
   * A short response has arrived completely.
   *
   * @param status HTTP status code
   * @param headers header fields for the caller, including the length of the body
   * @param body the complete body, owned by the receiver
   */
  void fullResponseReceived(int status, List<HeaderField> headers, ByteBuf body);

  /**
   * The target shed the request in the form that its protocol defines: it has not run the request.
   *
   * @param retryAfterMillis time after which the target asks for a retry, in milliseconds, 0 if it
   *     named none
   */
  void shed(long retryAfterMillis);

  /**
   * The exchange failed without a response.
   *
   * @param reached whether some of the request may have reached the target
   * @param code cause of the failure
   */
  void failed(boolean reached, ErrorCode code);

  /**
   * Header fields and body of a response.
   *
   * @param headers header fields for the caller
   * @param body body; the subscriber owns each buffer
   */
  record StreamedResponse(List<HeaderField> headers, Flux<ByteBuf> body) {}
}
