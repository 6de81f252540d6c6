package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Sends a body as far as the receiver's credit goes. */
final class BodySender extends BaseSubscriber<ByteBuf> {
  private final Consumer<ByteBuf> data;
  private final LongConsumer end;
  private final Runnable failure;
  private long credit;
  private long sent;
  private boolean requested;

  /**
   * Creates a sender.
   *
   * @param credit bytes that may be sent at first
   * @param data takes each buffer
   * @param end takes the length of the whole body
   * @param failure called if the body breaks off
   */
  BodySender(long credit, Consumer<ByteBuf> data, LongConsumer end, Runnable failure) {
    this.credit = credit;
    this.data = data;
    this.end = end;
    this.failure = failure;
  }

  void grant(long bytes) {
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
    data.accept(b);
    requestNext();
  }

  @Override
  protected void hookOnComplete() {
    end.accept(sent);
  }

  @Override
  protected void hookOnError(Throwable t) {
    failure.run();
  }

  private void requestNext() {
    if (credit > 0 && !requested && upstream() != null) {
      requested = true;
      request(1);
    }
  }
}
