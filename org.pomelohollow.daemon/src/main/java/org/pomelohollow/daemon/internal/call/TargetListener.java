package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.HeaderField;
import reactor.core.publisher.Flux;

/** Hears the outcome of an exchange with the target. */
public interface TargetListener {
  /**
   * The head of the answer is here.
   *
   * @param status its status
   * @param answer the rest
   */
  void answered(int status, Answer answer);

  /**
   * The whole of a short answer is here.
   *
   * @param status its status
   * @param headers fields for the caller, with the length of the body
   * @param body the body, handed over
   */
  void answeredWhole(int status, List<HeaderField> headers, ByteBuf body);

  /**
   * The target refused in the form of its contract: it has not run the request.
   *
   * @param retryAfterMillis time that it named, in milliseconds, 0 if none
   */
  void shed(long retryAfterMillis);

  /**
   * There is no answer.
   *
   * @param reached whether some of the request may have reached the target
   * @param code what happened
   */
  void failed(boolean reached, ErrorCode code);

  /**
   * Rest of an answer.
   *
   * @param headers fields for the caller
   * @param body body; each buffer is handed over to the subscriber
   */
  record Answer(List<HeaderField> headers, Flux<ByteBuf> body) {}
}
