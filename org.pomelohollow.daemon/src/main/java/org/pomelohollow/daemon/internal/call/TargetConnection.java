package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * One connection to the target, with one request at a time. Bytes that arrive while no request is
 * open, or after a complete response, close the connection, because responses could no longer be
 * matched with requests.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Bytes of responses to other requests, above which the connection is closed. */
  private static final long MAX_SKIPPED_BYTES = 1 << 20;

  /**
   * Interim responses and responses to other requests, above which the connection is closed. Such
   * messages may be without a body, so that their bytes alone bound neither work nor log lines.
   */
  private static final int MAX_SKIPPED_MESSAGES = 64;

  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_FINAL_STATUS = 599;

  /** Refused requests, above which the connection is closed. */
  private static final int MAX_REFUSED = 64;

  private final Set<String> refusedRequests = new HashSet<>();
  private final TargetResponseDecoder decoder;
  private final Consumer<TargetConnection> onReusable;
  private final Runnable onMisdirected;
  private Channel channel;
  private Optional<TargetExchange> exchange = Optional.empty();
  private TargetProtocol.ResponseKind meaning = new TargetProtocol.ResponseKind.OtherRequest();
  private Disposable bodySubscription = () -> {};
  private Runnable onEnd = () -> {};
  private boolean receiving;
  private boolean requestSent = true;
  private long skippedBytes;
  private int skippedMessages;
  private boolean keepAlive;
  private boolean unusable;
  private long idleSinceNanos;
  private long idleLimitNanos = IdleLimit.DEFAULT.toNanos();

  /**
   * Creates a connection.
   *
   * @param decoder decodes the responses on this connection
   * @param onReusable receives the connection when it can carry another request
   * @param onMisdirected run when another target responds at the address
   */
  TargetConnection(
      TargetResponseDecoder decoder,
      Consumer<TargetConnection> onReusable,
      Runnable onMisdirected) {
    this.decoder = decoder;
    this.onReusable = onReusable;
    this.onMisdirected = onMisdirected;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Returns the decoder of the responses on this connection. */
  TargetResponseDecoder decoder() {
    return decoder;
  }

  /**
   * Returns whether the connection is open, can carry another request and was not idle for too
   * long.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  boolean isUsable(long nowNanos) {
    return channel.isActive()
        && !unusable
        && exchange.isEmpty()
        && nowNanos - idleSinceNanos < idleLimitNanos;
  }

  /**
   * Returns whether the target has refused a request on this connection. It may send a late copy of
   * that refusal, which would look like the response to the next try of the request.
   *
   * @param requestId identifier of the request
   */
  boolean hasRefused(String requestId) {
    return refusedRequests.contains(requestId);
  }

  void close() {
    unusable = true;
    channel.close();
  }

  /**
   * Sends a request. From this call on, the request may have reached the target.
   *
   * @param newExchange the exchange
   * @param target the target
   * @param nowNanos current monotonic time, in nanoseconds
   * @param endCallback run when the exchange ends; its deadline need not be watched any longer
   */
  void send(
      TargetExchange newExchange, TargetAnnouncement target, long nowNanos, Runnable endCallback) {
    exchange = Optional.of(newExchange);
    onEnd = endCallback;
    receiving = false;
    skippedBytes = 0;
    skippedMessages = 0;
    requestSent = newExchange.streamedBody().isEmpty();
    HttpRequest r = newExchange.createRequest(target, nowNanos);
    decoder.setMethod(r.method());
    write(r);
    newExchange.streamedBody().ifPresent(this::sendBody);
  }

  /**
   * Cancels an exchange by closing the connection, upon which the target drops the request. Does
   * nothing if the connection carries another exchange or none.
   */
  void cancel(TargetExchange x) {
    if (exchange.filter(x::equals).isPresent()) {
      endExchange();
      close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject o) {
    if (o.decoderResult().isFailure()) {
      fail(ErrorCode.ANSWER_MALFORMED, "malformed HTTP response");
      return;
    }
    if (exchange.isEmpty() && unusable) {
      return; // The rest of what was read before the connection was closed.
    }
    if (exchange.isEmpty()) {
      Logger.info("target: received data while no request is open, closing the connection");
      close();
      return;
    }
    if (o instanceof HttpResponse r && !handleHead(r)) {
      return;
    }
    if (o instanceof HttpContent c && receiving) {
      handleContent(c);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(ErrorCode.CONNECTION_LOST, "connection closed");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable t) {
    fail(ErrorCode.CONNECTION_LOST, t.toString());
  }

  private void sendBody(Flux<ByteBuf> body) {
    RequestBodyWriter w =
        new RequestBodyWriter(
            b -> write(new DefaultHttpContent(b)),
            () -> {
              requestSent = true;
              write(LastHttpContent.EMPTY_LAST_CONTENT);
            },
            t -> fail(RequestBody.failureCode(t), "request body was truncated"));
    bodySubscription = w;
    body.subscribe(w);
  }

  /**
   * Writes a part of the request. A failed write closes the channel without an exception event, and
   * the decoder would take that for the end of a response without a length; the promise of the
   * write fails before.
   */
  private ChannelFuture write(HttpObject part) {
    ChannelPromise p = channel.newPromise();
    p.addListener(
        f -> {
          if (!f.isSuccess()) {
            fail(ErrorCode.CONNECTION_LOST, f.cause().toString());
          }
        });
    return channel.writeAndFlush(part, p);
  }

  /** Processes the head of a response; returns false if no body is to be read for it. */
  private boolean handleHead(HttpResponse r) {
    if (isInterim(r.status())) {
      countSkippedMessage();
      return false;
    }
    if (!isFinal(r.status())) {
      fail(ErrorCode.ANSWER_MALFORMED, "status " + r.status().code() + " is not of a response");
      return false;
    }
    receiving = true;
    keepAlive = HttpUtil.isKeepAlive(r);
    idleLimitNanos = IdleLimit.after(r.headers()).toNanos();
    meaning = exchange.orElseThrow().interpretHead(r);
    if (meaning instanceof TargetProtocol.ResponseKind.Malformed) {
      fail(ErrorCode.ANSWER_MALFORMED, "response failed the protocol's checks");
      return false;
    }
    return true;
  }

  /** Returns whether a response precedes the final one; no request asks to switch protocols. */
  private static boolean isInterim(HttpResponseStatus s) {
    return s.codeClass() == HttpStatusClass.INFORMATIONAL
        && !s.equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  private static boolean isFinal(HttpResponseStatus s) {
    return s.code() >= MIN_FINAL_STATUS && s.code() <= MAX_FINAL_STATUS;
  }

  private void handleContent(HttpContent c) {
    if (!(meaning instanceof TargetProtocol.ResponseKind.Valid)) {
      skippedBytes += c.content().readableBytes();
      if (skippedBytes > MAX_SKIPPED_BYTES) {
        fail(
            ErrorCode.ANSWER_MALFORMED,
            "more than " + MAX_SKIPPED_BYTES + " bytes of responses to other requests");
        return;
      }
    } else if (!unusable) {
      exchange.orElseThrow().appendBody(c.content(), channel.config()::setAutoRead);
    }
    if (c instanceof LastHttpContent) {
      receiving = false;
      completeResponse();
    }
  }

  private void countSkippedMessage() {
    skippedMessages++;
    if (skippedMessages > MAX_SKIPPED_MESSAGES) {
      fail(
          ErrorCode.ANSWER_MALFORMED,
          "more than " + MAX_SKIPPED_MESSAGES + " messages that are not the response");
    }
  }

  private void completeResponse() {
    if (meaning instanceof TargetProtocol.ResponseKind.OtherRequest) {
      Logger.info("target: skipped a response that belongs to another request");
      if (!keepAlive) {
        close();
      }
      countSkippedMessage();
      return;
    }
    if (unusable) {
      return;
    }
    TargetExchange x = endExchange().orElseThrow();
    if (!(meaning instanceof TargetProtocol.ResponseKind.Valid)) {
      refusedRequests.add(x.requestId());
    }
    idleSinceNanos = System.nanoTime();
    if (decoder.hasLeftover()) {
      Logger.info("target: received data after a complete response, closing the connection");
      close();
    } else if (!requestSent) {
      // The target would take the next request for the rest of this request's body.
      Logger.info("target: response precedes the end of its request, closing the connection");
      close();
    } else if (keepAlive && channel.isActive() && refusedRequests.size() < MAX_REFUSED) {
      onReusable.accept(this);
    } else {
      close();
    }
    if (meaning instanceof TargetProtocol.ResponseKind.NotRun n) {
      x.shed(n.retryAfterMillis());
    } else if (meaning instanceof TargetProtocol.ResponseKind.Misdirected) {
      x.fail(false, ErrorCode.NO_TARGET, "another target responded at the address");
      onMisdirected.run();
    } else {
      x.complete();
    }
  }

  /**
   * Ends the exchange, however it ends, and releases what it holds of this connection and of the
   * client: the request's body, the pause of reading, and the watch of its deadline.
   */
  private Optional<TargetExchange> endExchange() {
    Optional<TargetExchange> x = exchange;
    exchange = Optional.empty();
    x.ifPresent(e -> onEnd.run());
    bodySubscription.dispose();
    if (channel.isActive()) {
      channel.config().setAutoRead(true); // May be paused while the caller reads the last parts.
    }
    return x;
  }

  private void fail(ErrorCode code, String why) {
    unusable = true;
    channel.close();
    endExchange().ifPresent(x -> x.fail(true, code, why));
  }
}
