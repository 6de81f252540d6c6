package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import reactor.core.publisher.Flux;

/** A call that waits for its link. */
final class PendingCall {
  private final AttemptHead head;
  private final Flux<ByteBuf> body;
  private final AnswerSink sink;
  private Runnable abandon = () -> {};
  private boolean abandoned;

  PendingCall(AttemptHead head, Flux<ByteBuf> body, AnswerSink sink) {
    this.head = head;
    this.body = body;
    this.sink = sink;
  }

  void connected(Optional<Link> link) {
    if (abandoned) {
      return;
    }
    if (link.isEmpty()) {
      sink.refused(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
    } else {
      abandon = link.get().call(head, body, sink);
    }
  }

  void abandon() {
    abandoned = true;
    abandon.run();
  }
}
