package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.reactivestreams.Subscription;
import org.tinylog.Logger;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;

/**
 * One connection of a caller. Pipelined requests run side by side, and their answers go out in the
 * order of the requests.
 *
 * <p>A connection is closed by this side only behind the answer to the last request that was taken
 * from it: what a caller sent behind a closing answer counts as not read, so none of it may run.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  /** Requests that run side by side for one connection; further ones wait in the socket. */
  private static final int MAX_PIPELINED = 64;

  private final InboundHandler handler;
  private final BooleanSupplier leaving;
  private final long maxBodyBytes;
  private final Consumer<CallerConnection> closed;
  private final Consumer<CallerConnection> opened;
  private final Deque<PendingAnswer> pending = new ArrayDeque<>();
  private ChannelHandlerContext ctx;
  private BodyReader reader;
  private boolean sending;
  private boolean closing;
  private long activeNanos;

  CallerConnection(
      InboundHandler handler,
      BooleanSupplier leaving,
      long maxBodyBytes,
      Consumer<CallerConnection> closed,
      Consumer<CallerConnection> opened) {
    this.closed = closed;
    this.opened = opened;
    this.handler = handler;
    this.leaving = leaving;
    this.maxBodyBytes = maxBodyBytes;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext c) {
    ctx = c;
  }

  @Override
  public void channelRead(ChannelHandlerContext c, Object msg) {
    if (closing) {
      ReferenceCountUtil.release(msg);
      return;
    }
    activeNanos = System.nanoTime();
    if (msg instanceof HttpRequest r) {
      begin(r);
    }
    if (msg instanceof HttpContent h) {
      add(h);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    closed.accept(this);
    closing = true;
    if (reader != null) {
      reader.fail();
    }
    while (!pending.isEmpty()) {
      pending.remove().lost();
    }
    c.fireChannelInactive();
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    activeNanos = System.nanoTime();
    opened.accept(this);
  }

  /** Closes the connection if nothing has come or gone on it since a time. */
  void closeIfIdle(long sinceNanos) {
    if (pending.isEmpty() && activeNanos - sinceNanos < 0) {
      close();
    }
  }

  /** Takes no further request, and closes the connection behind the last answer that is due. */
  void finish() {
    if (pending.isEmpty() && reader == null) {
      close();
    } else {
      closing = reader == null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable t) {
    Logger.debug("callers: connection closed: {}", t.toString());
    c.close();
  }

  void close() {
    closing = true;
    ctx.close();
  }

  /** Sends the answers that are due. */
  void answered() {
    while (!sending && !pending.isEmpty() && pending.peek().ready().isPresent()) {
      send(pending.peek());
    }
    ctx.channel().config().setAutoRead(pending.size() < MAX_PIPELINED && !isBodyStalled());
  }

  private boolean isBodyStalled() {
    return reader != null && reader.isStalled();
  }

  private void begin(HttpRequest r) {
    if (r.decoderResult().isFailure()) {
      refuseMalformed(r);
      return;
    }
    long length = HttpUtil.getContentLength(r, 0L);
    if (length > maxBodyBytes) {
      closing = true;
      start(r, RequestBody.streamed(Flux.empty(), length));
      return;
    }
    if (HttpUtil.is100ContinueExpected(r)) {
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    reader = new BodyReader(r, maxBodyBytes, () -> ctx.channel().config().setAutoRead(true));
  }

  private void add(HttpContent h) {
    if (reader == null) {
      h.release();
      return;
    }
    boolean last = h instanceof LastHttpContent;
    boolean start = reader.add(h.content(), last);
    HttpRequest r = reader.head();
    RequestBody body = start ? reader.take() : null;
    if (last) {
      reader = null;
    }
    if (start) {
      start(r, body);
    }
    if (pending.size() >= MAX_PIPELINED || isBodyStalled()) {
      ctx.channel().config().setAutoRead(false);
    }
  }

  private void start(HttpRequest r, RequestBody body) {
    PendingAnswer p = new PendingAnswer(this, r, body);
    pending.add(p);
    if (!HttpUtil.isKeepAlive(r)) {
      closing = reader == null;
    }
    handler.handle(p);
  }

  /** Answers bytes that are no request; nothing after them can be understood. */
  private void refuseMalformed(HttpRequest r) {
    HttpResponseStatus status = statusOf(r.decoderResult().cause());
    Logger.info("callers: malformed request: {}", r.decoderResult().cause().toString());
    FullHttpResponse a = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    a.headers().set(HttpHeaderNames.CONTENT_LENGTH, "0");
    PendingAnswer p = new PendingAnswer(this, r, RequestBody.buffered(new byte[0]));
    closing = true;
    pending.add(p);
    p.respond(a);
  }

  private static HttpResponseStatus statusOf(Throwable cause) {
    String name = cause.getClass().getSimpleName();
    return name.startsWith("TooLong")
        ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        : HttpResponseStatus.BAD_REQUEST;
  }

  private void send(PendingAnswer p) {
    HttpResponse r = p.ready().orElseThrow();
    boolean last = isLast(p);
    if (last) {
      closing = true;
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!p.head().protocolVersion().isKeepAliveDefault()) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    if (p.content().isPresent()) {
      sending = true;
      p.content().get().subscribe(new Pieces(p, r, last));
      return;
    }
    ctx.writeAndFlush(r);
    done(p, last);
  }

  private boolean isLast(PendingAnswer p) {
    boolean wanted = closing || leaving.getAsBoolean() || !HttpUtil.isKeepAlive(p.head());
    return wanted && pending.size() == 1 && reader == null;
  }

  private void done(PendingAnswer p, boolean last) {
    p.sent();
    activeNanos = System.nanoTime();
    pending.remove(p);
    if (last) {
      ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> ctx.close());
    }
  }

  /** Sends an answer piece by piece, as fast as the caller reads. */
  private final class Pieces extends BaseSubscriber<ByteBuf> {
    private final PendingAnswer answer;
    private final boolean last;

    Pieces(PendingAnswer answer, HttpResponse head, boolean last) {
      this.answer = answer;
      this.last = last;
      if (!HttpUtil.isContentLengthSet(head)) {
        HttpUtil.setTransferEncodingChunked(head, true);
      }
      ctx.writeAndFlush(head);
      answer.onDisconnect(this::cancel);
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
      sending = false;
      ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
      done(answer, last);
      answered();
    }

    @Override
    protected void hookOnError(Throwable t) {
      Logger.info("callers: answer broken off: {}", t.toString());
      close();
    }
  }
}
