package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import org.pomelohollow.wire.AttemptHead;
import reactor.core.publisher.Flux;

/** Runs attempts, either at the target of this host or over a link at a peer's target. */
@FunctionalInterface
public interface AttemptHandler {
  /**
   * Starts an attempt.
   *
   * @param head head of the attempt: request context, method, URI and header fields
   * @param body body, if {@link AttemptHead#streamedLength} is present; subscribed to at most once,
   *     and only when a target accepts the request; the subscriber owns each buffer
   * @param responseListener receives the outcome, possibly before this method returns
   * @return cancels the attempt when run; the listener is not invoked afterwards
   */
  Runnable startAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener responseListener);
}
