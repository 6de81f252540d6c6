package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;

/** Takes what comes of a call. Exactly one method is called, once; later calls are ignored. */
public interface AnswerSink {
  /**
   * The target answers.
   *
   * @param head status and headers
   * @param body body, to be subscribed once; each buffer is handed over to the subscriber; an error
   *     means that the answer was cut short
   */
  void answered(ResponseHead head, Flux<ByteBuf> body);

  /**
   * The target answers, and its short answer is here as a whole.
   *
   * @param head status and headers
   * @param body the whole body, handed over
   */
  default void answeredWhole(ResponseHead head, ByteBuf body) {
    answered(head, Flux.just(body));
  }

  /**
   * There is no answer.
   *
   * @param verdict whether the request may have run
   * @param load load of the target's daemon, if it was reached
   */
  void refused(Verdict verdict, Optional<TargetLoad> load);
}
