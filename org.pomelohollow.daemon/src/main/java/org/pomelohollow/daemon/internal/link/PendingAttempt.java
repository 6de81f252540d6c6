package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import reactor.core.publisher.Flux;

/** An attempt that waits for the link to its peer to be established. */
final class PendingAttempt {
  private final AttemptHead head;
  private final Flux<ByteBuf> body;
  private final ResponseListener responseListener;
  private Runnable cancel = () -> {};
  private boolean cancelled;

  PendingAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener responseListener) {
    this.head = head;
    this.body = body;
    this.responseListener = responseListener;
  }

  /** Starts the attempt on the link; fails it as not run if {@code link} is empty. */
  void connected(Optional<Link> link) {
    if (cancelled) {
      return;
    }
    if (link.isEmpty()) {
      responseListener.failed(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
    } else {
      cancel = link.get().startAttempt(head, body, responseListener);
    }
  }

  void cancel() {
    cancelled = true;
    cancel.run();
  }
}
