package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * One connection to the target, with one request at a time. Whatever comes without a request, or
 * behind a whole answer, ends the connection: the target's bytes are out of step then.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {
  private final AnswerDecoder decoder;
  private final Consumer<TargetConnection> released;
  private final Runnable misdirected;
  private Channel channel;
  private Optional<TargetExchange> exchange = Optional.empty();
  private TargetProtocol.ResponseKind meaning = new TargetProtocol.ResponseKind.OtherRequest();
  private Disposable sending = () -> {};
  private Runnable onEnd = () -> {};
  private boolean receiving;
  private boolean keepAlive;
  private boolean broken;
  private long idleSinceNanos;

  /**
   * Creates a connection.
   *
   * @param decoder decodes its answers
   * @param released takes the connection when it can carry another request
   * @param misdirected told when another target answers at the address
   */
  TargetConnection(
      AnswerDecoder decoder, Consumer<TargetConnection> released, Runnable misdirected) {
    this.decoder = decoder;
    this.released = released;
    this.misdirected = misdirected;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  /** Returns what decodes the answers of this connection. */
  AnswerDecoder decoder() {
    return decoder;
  }

  boolean isUsable() {
    return channel.isActive() && !broken && exchange.isEmpty();
  }

  long idleSinceNanos() {
    return idleSinceNanos;
  }

  void close() {
    broken = true;
    channel.close();
  }

  /**
   * Sends a request. From here on it may have reached the target.
   *
   * @param x the exchange
   * @param target the target
   * @param nowNanos current monotonic time, in nanoseconds
   * @param ended run when the exchange needs no more time
   */
  void send(TargetExchange x, TargetAnnouncement target, long nowNanos, Runnable ended) {
    exchange = Optional.of(x);
    onEnd = ended;
    receiving = false;
    HttpRequest r = x.request(target, nowNanos);
    decoder.setMethod(r.method());
    channel.writeAndFlush(r).addListener(f -> written(f.cause()));
    x.streamedBody().ifPresent(this::sendBody);
  }

  /** Cuts the request off; the target drops it when its connection closes. */
  void abandon(TargetExchange x) {
    if (exchange.filter(x::equals).isPresent()) {
      exchange = Optional.empty();
      sending.dispose();
      close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject o) {
    if (o.decoderResult().isFailure()) {
      fail(ErrorCode.ANSWER_MALFORMED, "unreadable answer");
      return;
    }
    if (exchange.isEmpty()) {
      Logger.info("target: bytes without a request, closing the connection");
      close();
      return;
    }
    if (o instanceof HttpResponse r && !begin(r)) {
      return;
    }
    if (o instanceof HttpContent c && receiving) {
      add(c);
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
    sending =
        body.subscribe(
            b -> channel.writeAndFlush(new DefaultHttpContent(b)),
            t -> fail(ErrorCode.CANCELLED, "body broken off"),
            () -> channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  private void written(Throwable cause) {
    if (cause != null) {
      fail(ErrorCode.CONNECTION_LOST, cause.toString());
    }
  }

  /** Returns false if the head leads nowhere. */
  private boolean begin(HttpResponse r) {
    if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return false;
    }
    receiving = true;
    keepAlive = HttpUtil.isKeepAlive(r);
    meaning = exchange.orElseThrow().begin(r);
    if (meaning instanceof TargetProtocol.ResponseKind.Malformed) {
      fail(ErrorCode.ANSWER_MALFORMED, "untrusted answer");
      return false;
    }
    return true;
  }

  private void add(HttpContent c) {
    boolean ours = meaning instanceof TargetProtocol.ResponseKind.Valid;
    if (ours && !broken) {
      exchange.orElseThrow().add(c.content());
    }
    if (c instanceof LastHttpContent) {
      receiving = false;
      end();
    }
  }

  private void end() {
    if (meaning instanceof TargetProtocol.ResponseKind.OtherRequest) {
      Logger.info("target: skipped an answer to another request");
      if (!keepAlive) {
        close();
      }
      return;
    }
    if (broken) {
      return;
    }
    TargetExchange x = exchange.orElseThrow();
    exchange = Optional.empty();
    onEnd.run();
    sending.dispose();
    idleSinceNanos = System.nanoTime();
    if (decoder.hasLeftover()) {
      Logger.info("target: bytes behind an answer, closing the connection");
      close();
    } else if (keepAlive && channel.isActive()) {
      released.accept(this);
    } else {
      close();
    }
    if (meaning instanceof TargetProtocol.ResponseKind.NotRun n) {
      x.shed(n.retryAfterMillis());
    } else if (meaning instanceof TargetProtocol.ResponseKind.Misdirected) {
      x.fail(false, ErrorCode.NO_TARGET, "another target has the address");
      misdirected.run();
    } else {
      x.complete();
    }
  }

  private void fail(ErrorCode code, String why) {
    broken = true;
    channel.close();
    sending.dispose();
    Optional<TargetExchange> x = exchange;
    exchange = Optional.empty();
    x.ifPresent(
        e -> {
          onEnd.run();
          e.fail(true, code, why);
        });
  }
}
