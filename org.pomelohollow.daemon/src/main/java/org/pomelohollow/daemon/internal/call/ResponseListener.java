package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;

/**
 * Receives the outcome of an attempt. Exactly one method is called, once; later invocations are
 * ignored.
 */
public interface ResponseListener {
  /**
   * The head of the target's response has arrived; the body follows as a stream.
   *
   * @param head status and header fields
   * @param body body, to be subscribed to once; the subscriber owns each buffer; an error means
   *     that the response was truncated
   */
  void responseStarted(ResponseHead head, Flux<ByteBuf> body);

  /**
   * The target's response, a short one, has arrived completely.
   *
   * @param head status and header fields
   * @param body the complete body, owned by the receiver
   */
  default void fullResponseReceived(ResponseHead head, ByteBuf body) {
    responseStarted(head, Flux.just(body));
  }

  /**
   * The attempt failed without a response.
   *
   * @param verdict error code, and whether the request may have run
   * @param load load report of the target's daemon, if it was reached
   */
  void failed(Verdict verdict, Optional<TargetLoad> load);
}
