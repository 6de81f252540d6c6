package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import org.pomelohollow.wire.AttemptHead;
import reactor.core.publisher.Flux;

/** Runs calls: at the target of this host, or over a link at another. */
@FunctionalInterface
public interface CallHandler {
  /**
   * Starts a call.
   *
   * @param head the call
   * @param body body, if {@link AttemptHead#streamedLength} is present; subscribed at most once,
   *     and only when a target takes the request; each buffer is handed over to the subscriber
   * @param sink takes the outcome, perhaps before this method returns
   * @return abandons the call when run; nothing is told to the sink afterwards
   */
  Runnable call(AttemptHead head, Flux<ByteBuf> body, AnswerSink sink);
}
