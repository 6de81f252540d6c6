package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.guard.GuardListener;
import org.pomelohollow.decision.guard.GuardedRequest;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.AttemptHead;
import reactor.core.publisher.Flux;

/** Runs calls at the target of this host, as its guard decides. */
public final class TargetSide implements CallHandler {
  private final Node node;
  private final TargetClient client;
  private final RunningRequests running;
  private final LongSupplier clock;

  /**
   * Creates the target's side.
   *
   * @param node decides
   * @param client hands requests to the target
   * @param running requests at the target
   * @param clock monotonic time, in nanoseconds
   */
  public TargetSide(Node node, TargetClient client, RunningRequests running, LongSupplier clock) {
    this.node = node;
    this.client = client;
    this.running = running;
    this.clock = clock;
  }

  @Override
  public Runnable call(AttemptHead head, Flux<ByteBuf> body, AnswerSink sink) {
    long now = clock.getAsLong();
    RequestContext c = head.context(now);
    TargetCall t = new TargetCall(node, client, running, clock, head, c, body, sink);
    GuardListener l = t;
    GuardedRequest g = node.guard().offer(c, head.bulk(), l, now);
    t.setGuarded(g);
    return t::abandon;
  }
}
