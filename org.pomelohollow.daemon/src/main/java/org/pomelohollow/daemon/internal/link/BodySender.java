package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Sends a body within the credit that the receiver has granted. */
final class BodySender extends BaseSubscriber<ByteBuf> {
  private final Consumer<ByteBuf> onData;
  private final LongConsumer onEnd;
  private final Consumer<Throwable> onFailure;
  private long credit;
  private long sent;
  private boolean requested;

  /**
   * Creates a sender.
   *
   * @param credit initial credit, in bytes
   * @param onData receives each buffer
   * @param onEnd receives the length of the complete body, in bytes
   * @param onFailure receives the error if the body fails before its end
   */
  BodySender(
      long credit, Consumer<ByteBuf> onData, LongConsumer onEnd, Consumer<Throwable> onFailure) {
    this.credit = credit;
    this.onData = onData;
    this.onEnd = onEnd;
    this.onFailure = onFailure;
  }

  /** Adds credit granted by the receiver and continues sending. */
  void addCredit(long bytes) {
    credit += bytes;
    requestNext();
  }

  @Override
  protected void hookOnSubscribe(Subscription s) {
    requestNext();
  }

  @Override
  protected void hookOnNext(ByteBuf b) {
    requested = false;
    credit -= b.readableBytes();
    sent += b.readableBytes();
    onData.accept(b);
    requestNext();
  }

  @Override
  protected void hookOnComplete() {
    onEnd.accept(sent);
  }

  @Override
  protected void hookOnError(Throwable t) {
    onFailure.accept(t);
  }

  private void requestNext() {
    if (credit > 0 && !requested && upstream() != null) {
      requested = true;
      request(1);
    }
  }
}
