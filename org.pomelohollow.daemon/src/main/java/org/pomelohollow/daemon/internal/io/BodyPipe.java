package org.pomelohollow.daemon.internal.io;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * The received parts of a body that nobody has read yet, and their owner: it releases those that
 * are not read any more, and takes them off the budget.
 */
public final class BodyPipe {
  /** Bytes that are not read yet, above which receiving pauses. */
  private static final long MAX_UNREAD_BYTES = 256 * 1024;

  private final Queue<ByteBuf> queue = new ArrayDeque<>();
  private final Sinks.Many<ByteBuf> sink = Sinks.many().unicast().onBackpressureBuffer(queue);
  private final BodyBudget budget;
  private final Runnable onRead;
  private long unreadBytes;
  private boolean subscribed;
  private boolean discarding;

  /**
   * Creates an empty pipe.
   *
   * @param budget budget of the held bytes
   * @param onRead run when less is held than before; receiving may go on
   */
  public BodyPipe(BodyBudget budget, Runnable onRead) {
    this.budget = budget;
    this.onRead = onRead;
  }

  /**
   * Returns the body, to be subscribed to once; the subscriber owns each buffer that it gets. Fails
   * if the body was discarded.
   */
  public Flux<ByteBuf> flux() {
    return Flux.defer(
        () -> {
          if (discarding) {
            return Flux.error(
                new PomelohollowException(ErrorCode.CANCELLED, "the body was discarded"));
          }
          subscribed = true;
          return sink.asFlux()
              .doOnNext(b -> countRead(b.readableBytes()))
              .doOnCancel(this::discard);
        });
  }

  /** Adds a part and takes ownership of it. */
  public void add(ByteBuf b) {
    int n = b.readableBytes();
    if (discarding) {
      b.release();
      return;
    }
    unreadBytes += n;
    budget.add(n);
    if (sink.tryEmitNext(b).isFailure()) {
      b.release();
      countRead(n);
    }
  }

  /** Ends the body. */
  public void complete() {
    sink.tryEmitComplete();
  }

  /**
   * Fails the body behind the parts that were received.
   *
   * @param t the reason
   */
  public void fail(Throwable t) {
    sink.tryEmitError(t);
  }

  /** Returns whether receiving is to pause until more was read. */
  public boolean isFull() {
    return unreadBytes > (budget.isSpent() ? 0 : MAX_UNREAD_BYTES);
  }

  /** Discards the body, also the parts to come, unless somebody reads it. */
  public void discardUnlessRead() {
    if (!subscribed) {
      discard();
    }
  }

  private void discard() {
    discarding = true;
    for (ByteBuf b = queue.poll(); b != null; b = queue.poll()) {
      b.release();
    }
    countRead(unreadBytes);
  }

  private void countRead(long n) {
    unreadBytes -= n;
    budget.add(-n);
    onRead.run();
  }
}
