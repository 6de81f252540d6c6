package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.guard.GuardedRequest;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.wire.AttemptHead;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;

/** Runs attempts at the target of this host once its guard admits them. */
public final class LocalAttemptHandler implements AttemptHandler {
  private final Node node;
  private final TargetClient client;
  private final TargetRequestRegistry running;
  private final LongSupplier clock;
  private final CancellationObserver cancellations;

  /**
   * Creates a handler.
   *
   * @param node node whose guard admits requests
   * @param client sends requests to the target
   * @param running registry of the requests that run at the target
   * @param clock monotonic time, in nanoseconds
   * @param cancellations notified of attempts that are cancelled
   */
  public LocalAttemptHandler(
      Node node,
      TargetClient client,
      TargetRequestRegistry running,
      LongSupplier clock,
      CancellationObserver cancellations) {
    this.cancellations = cancellations;
    this.node = node;
    this.client = client;
    this.running = running;
    this.clock = clock;
  }

  @Override
  public Runnable startAttempt(
      AttemptHead head, Flux<ByteBuf> body, ResponseListener responseListener) {
    long now = clock.getAsLong();
    RequestContext c = head.context(now);
    head.notice().ifPresent(n -> adopt(n, c, now));
    TargetAttempt t =
        new TargetAttempt(
            node, client, running, clock, cancellations, head, c, body, responseListener);
    GuardedRequest g = node.guard().prepare(c, head.bulk(), t);
    t.setGuardedRequest(g);
    g.offer(now);
    return t::cancel;
  }

  private void adopt(TargetNotice n, RequestContext c, long nowNanos) {
    if (node.admission().notices().adopt(n, nowNanos)) {
      Logger.info("target: known from the entry daemon of {}: {}", c.requestId(), n);
      node.handle(new Event.TargetNoticeChanged());
    }
  }
}
