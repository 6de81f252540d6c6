package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Sends the body of a request, one buffer at a time, as fast as the target reads. */
final class RequestBodyWriter extends BaseSubscriber<ByteBuf> {
  private final Function<ByteBuf, ChannelFuture> write;
  private final Runnable onComplete;
  private final Consumer<Throwable> onFailure;

  /**
   * Creates a writer.
   *
   * @param write writes a part to the connection
   * @param onComplete run when the whole body was handed over
   * @param onFailure receives the error if the body fails before its end
   */
  RequestBodyWriter(
      Function<ByteBuf, ChannelFuture> write, Runnable onComplete, Consumer<Throwable> onFailure) {
    this.write = write;
    this.onComplete = onComplete;
    this.onFailure = onFailure;
  }

  @Override
  protected void hookOnSubscribe(Subscription s) {
    request(1);
  }

  @Override
  protected void hookOnNext(ByteBuf b) {
    write
        .apply(b)
        .addListener(
            f -> {
              if (f.isSuccess()) {
                request(1);
              }
            });
  }

  @Override
  protected void hookOnComplete() {
    onComplete.run();
  }

  @Override
  protected void hookOnError(Throwable t) {
    onFailure.accept(t);
  }
}
