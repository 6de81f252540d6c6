package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
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
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.pomelohollow.daemon.internal.io.BodyBudget;
import org.pomelohollow.daemon.internal.io.BodyPipe;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.errors.ErrorCode;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;

/**
 * One inbound HTTP/1.1 connection. Pipelined requests run concurrently, and their responses are
 * sent in the order of the requests.
 *
 * <p>This side closes a connection only after the response to the last request that was accepted
 * from it: a caller treats requests that it sent after a response with {@code Connection: close} as
 * not processed, so none of them may run.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter {
  /**
   * Requests of one connection that run or whose responses are not written yet; further ones wait
   * in the socket.
   */
  private static final int MAX_PIPELINED = 64;

  /**
   * Time for the caller to close its side after the last response, or to send the request that a
   * response without {@code Connection: close} allows, in milliseconds.
   */
  private static final long LINGER_MILLIS = 500;

  private final InboundHandler handler;
  private final BooleanSupplier shuttingDown;
  private final long maxBodyBytes;
  private final BodyBudget budget;
  private final Listener listener;
  private final Deque<PendingResponse> pending = new ArrayDeque<>();
  private ChannelHandlerContext ctx;
  private BodyReader reader;
  private boolean sending;
  private boolean continueDue;
  private boolean closing;
  private boolean draining;

  /** Full responses in the channel's write queue. */
  private int unwritten;

  private boolean awaitsNext;
  private long lastActivityNanos;

  InboundConnection(
      InboundHandler handler,
      BooleanSupplier shuttingDown,
      long maxBodyBytes,
      BodyBudget budget,
      Listener listener) {
    this.budget = budget;
    this.listener = listener;
    this.handler = handler;
    this.shuttingDown = shuttingDown;
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
    lastActivityNanos = System.nanoTime();
    if (msg instanceof HttpRequest r) {
      handleHead(r);
    }
    if (msg instanceof HttpContent h) {
      handleContent(h);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext c) {
    listener.closed(this);
    closing = true;
    if (reader != null) {
      reader.fail(ErrorCode.DRAINING);
    }
    while (!pending.isEmpty()) {
      pending.remove().connectionLost();
    }
    c.fireChannelInactive();
  }

  @Override
  public void channelActive(ChannelHandlerContext c) {
    lastActivityNanos = System.nanoTime();
    listener.opened(this);
  }

  /**
   * Closes the connection if no request is open on it and nothing was received or sent on it since
   * a point in time.
   *
   * @param sinceNanos monotonic time, in nanoseconds
   */
  void closeIfIdle(long sinceNanos) {
    if (pending.isEmpty() && lastActivityNanos - sinceNanos < 0) {
      close();
    }
  }

  /**
   * Closes the connection after the last due response, which says so, and accepts no further
   * request. If the head of the last response was sent before, one more request is accepted, since
   * the caller may send it. A request that has not started, because its body is not complete, is
   * dropped; one that has started may still send the rest of its body.
   */
  void drain() {
    draining = true;
    boolean isReceiving = reader != null;
    if ((isReceiving && reader.isStreamed()) || isLastHeadSentUnmarked()) {
      return;
    }
    reader = null;
    continueDue = false;
    closing = true;
    if (pending.isEmpty() && (isReceiving || unwritten > 0)) {
      closeAfterResponses(false);
    } else if (pending.isEmpty()) {
      close();
    }
  }

  /** Returns whether a draining server has to wait for this connection. */
  boolean isBusy() {
    return !pending.isEmpty() || unwritten > 0 || awaitsNext;
  }

  /**
   * Returns whether the heads of all responses were sent, the last one allows a further request,
   * and the caller may not have received it yet.
   */
  private boolean isLastHeadSentUnmarked() {
    return !closing && (sending ? pending.size() == 1 : pending.isEmpty() && unwritten > 0);
  }

  /** Closes the connection if a draining caller sends no request after an unmarked response. */
  private void awaitNextRequest() {
    if (!draining || closing || reader != null || !pending.isEmpty() || unwritten > 0) {
      return;
    }
    awaitsNext = true;
    ctx.executor()
        .schedule(
            () -> {
              awaitsNext = false;
              if (!closing && reader == null && pending.isEmpty()) {
                closing = true;
                closeAfterResponses(false);
              }
            },
            LINGER_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Ends the request whose body is still being received after {@link #drain}. */
  void abortUpload() {
    if (draining && reader != null) {
      BodyReader r = reader;
      reader = null;
      closing = true;
      r.fail(ErrorCode.DRAINING);
      closeIfNothingDue();
    }
  }

  /** Closes the connection if its last response was sent before the body of its request ended. */
  private void closeIfNothingDue() {
    if (closing && pending.isEmpty()) {
      closeAfterResponses(false);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext c, Throwable t) {
    Logger.debug("callers: closing the connection: {}", t.toString());
    c.close();
  }

  void close() {
    closing = true;
    ctx.close();
  }

  /** Returns whether the connection is open, as far as this side has read. */
  boolean isOpen() {
    return ctx.channel().isActive();
  }

  /** Sends the responses that are available, in the order of their requests. */
  void sendReadyResponses() {
    while (!sending && !pending.isEmpty() && pending.peek().responseHead().isPresent()) {
      sendResponse(pending.peek());
    }
    sendContinueIfDue();
    updateReading();
  }

  /** Sends an interim response, unless the responses to earlier requests are still due. */
  private void sendContinueIfDue() {
    if (continueDue && pending.isEmpty() && !sending) {
      continueDue = false;
      ctx.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void updateReading() {
    boolean read = pending.size() + unwritten < MAX_PIPELINED && !isBodyOverUnreadLimit();
    if (!read && ctx.channel().config().isAutoRead()) {
      listener.readingPaused(this);
    }
    ctx.channel().config().setAutoRead(read);
  }

  private boolean isBodyOverUnreadLimit() {
    return reader != null && reader.isOverUnreadLimit();
  }

  private void handleHead(HttpRequest r) {
    if (r.decoderResult().isFailure()) {
      rejectMalformed(r);
      return;
    }
    long length = HttpUtil.getContentLength(r, 0L);
    if (length > maxBodyBytes) {
      closing = true;
      startRequest(r, RequestBody.streamed(Flux.empty(), length), () -> {});
      return;
    }
    continueDue = HttpUtil.is100ContinueExpected(r);
    sendContinueIfDue();
    reader = new BodyReader(r, maxBodyBytes, new BodyPipe(budget, this::updateReading));
    // A caller that waits for an interim response gets it before its request starts.
    if (!HttpUtil.is100ContinueExpected(r) && reader.streamIfLong()) {
      startRequest(r, reader.createBody(), reader::discardUnlessRead);
    }
  }

  private void handleContent(HttpContent h) {
    if (reader == null) {
      h.release();
      return;
    }
    boolean last = h instanceof LastHttpContent;
    boolean start = reader.add(h.content(), last);
    BodyReader current = reader;
    if (last) {
      reader = null;
      continueDue = false;
      closing |= draining && (start || !isLastHeadSentUnmarked());
    }
    if (start) {
      startRequest(current.head(), current.createBody(), current::discardUnlessRead);
    } else if (last) {
      closeIfNothingDue();
    }
    updateReading();
  }

  private void startRequest(HttpRequest r, RequestBody body, Runnable releaseBody) {
    PendingResponse p = new PendingResponse(this, r, body, releaseBody, lastActivityNanos);
    pending.add(p);
    if (!HttpUtil.isKeepAlive(r)) {
      closing = reader == null;
    }
    // Starts it once the end of the connection has been read too, if that arrived with it.
    ctx.executor().execute(() -> handle(p));
  }

  private void handle(PendingResponse p) {
    try {
      handler.handle(p);
    } catch (RuntimeException e) {
      Logger.warn(e, "callers: closing the connection, a request could not be handled");
      close();
    }
  }

  /**
   * Responds to bytes that are not a valid request, then closes the connection, since the start of
   * the next request can't be found.
   */
  private void rejectMalformed(HttpRequest r) {
    HttpResponseStatus status = statusOf(r.decoderResult().cause());
    Logger.info(
        "callers: malformed request, closing the connection: {}",
        r.decoderResult().cause().toString());
    FullHttpResponse a = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
    a.headers().set(HttpHeaderNames.CONTENT_LENGTH, "0");
    PendingResponse p =
        new PendingResponse(
            this, r, RequestBody.buffered(new byte[0]), () -> {}, lastActivityNanos);
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

  private void sendResponse(PendingResponse p) {
    HttpResponse r = p.responseHead().orElseThrow();
    p.markStarted();
    boolean last = isLast(p);
    if (last) {
      closing = true;
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!p.head().protocolVersion().isKeepAliveDefault()) {
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
    if (p.content().isPresent()) {
      sending = true;
      p.content()
          .get()
          .subscribe(
              new ResponseBodyWriter(
                  ctx, p, r, () -> streamedResponseWritten(p, last), this::close));
      return;
    }
    unwritten++;
    ctx.writeAndFlush(r).addListener(f -> fullResponseWritten());
    responseSent(p, last);
  }

  private void fullResponseWritten() {
    unwritten--;
    lastActivityNanos = System.nanoTime();
    updateReading();
    awaitNextRequest();
  }

  private boolean isLast(PendingResponse p) {
    boolean wanted = closing || shuttingDown.getAsBoolean() || !HttpUtil.isKeepAlive(p.head());
    return wanted && pending.size() == 1 && reader == null;
  }

  private void responseSent(PendingResponse p, boolean last) {
    p.markSent();
    lastActivityNanos = System.nanoTime();
    pending.remove(p);
    if (last) {
      boolean callerCloses = !HttpUtil.isKeepAlive(p.head());
      closeAfterResponses(callerCloses);
    }
    awaitNextRequest();
  }

  /**
   * Closes the connection once all responses are written. Unless the caller asked for that, it may
   * have sent more requests, and closing a socket with unread bytes resets the connection, which
   * can destroy responses that the caller has not read yet. Therefore only the sending direction is
   * closed, and what still arrives is discarded until the caller closes its side or {@link
   * #LINGER_MILLIS} have passed.
   */
  private void closeAfterResponses(boolean callerCloses) {
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> closeWritten(callerCloses));
  }

  private void closeWritten(boolean callerCloses) {
    if (callerCloses || !(ctx.channel() instanceof DuplexChannel d) || !d.isActive()) {
      ctx.close();
      return;
    }
    ctx.channel().config().setAutoRead(true);
    d.shutdownOutput();
    ctx.executor().schedule(() -> ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Notified of the state of connections. */
  interface Listener {
    /** Notifies that a connection was accepted. */
    void opened(InboundConnection c);

    /** Notifies that a connection has been closed by either side. */
    void closed(InboundConnection c);

    /** Notifies that nothing is read from a connection until its open requests have progressed. */
    void readingPaused(InboundConnection c);
  }

  /** Ends a streamed response whose body was written entirely. */
  private void streamedResponseWritten(PendingResponse p, boolean last) {
    sending = false;
    responseSent(p, last);
    sendReadyResponses();
  }
}
