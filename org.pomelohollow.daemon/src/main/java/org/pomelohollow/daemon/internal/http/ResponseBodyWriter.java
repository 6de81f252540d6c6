package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;
import reactor.core.publisher.BaseSubscriber;

/** Sends a streamed response, one buffer at a time, as fast as the caller reads. */
final class ResponseBodyWriter extends BaseSubscriber<ByteBuf> {
  private final ChannelHandlerContext ctx;
  private final Runnable onWritten;
  private final Runnable onFailure;

  /**
   * Writes the head of a response.
   *
   * @param ctx context of the connection
   * @param response the open request, whose body subscription ends with the connection
   * @param head head of the response
   * @param onWritten run when the whole body was written
   * @param onFailure run when the body fails, upon which the connection must be closed
   */
  ResponseBodyWriter(
      ChannelHandlerContext ctx,
      PendingResponse response,
      HttpResponse head,
      Runnable onWritten,
      Runnable onFailure) {
    this.ctx = ctx;
    this.onWritten = onWritten;
    this.onFailure = onFailure;
    if (!HttpUtil.isContentLengthSet(head)) {
      HttpUtil.setTransferEncodingChunked(head, true);
    }
    ctx.writeAndFlush(head);
    response.onDisconnect(this::cancel);
  }

  @Override
  protected void hookOnSubscribe(Subscription s) {
    request(1);
  }

  @Override
  protected void hookOnNext(ByteBuf b) {
    ctx.writeAndFlush(new DefaultHttpContent(b)).addListener(f -> request(1));
  }

  @Override
  protected void hookOnComplete() {
    ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(
            f -> {
              if (f.isSuccess()) {
                onWritten.run();
              }
            });
  }

  @Override
  protected void hookOnError(Throwable t) {
    Logger.info("callers: response body failed, closing the connection: {}", t.toString());
    onFailure.run();
  }
}
