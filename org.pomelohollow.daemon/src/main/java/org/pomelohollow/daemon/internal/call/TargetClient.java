package org.pomelohollow.daemon.internal.call;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.daemon.internal.io.Sockets;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.AttemptHead;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.netty.resources.LoopResources;

/**
 * Sends requests to the target over HTTP/1.1. A request is sent at most once: neither a connection
 * that closes during the exchange nor a lost response leads to another send.
 */
public final class TargetClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final HttpDecoderConfig DECODER_CONFIG =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAX_HEADER_BYTES)
          .setMaxHeaderSize(MAX_HEADER_BYTES)
          .setMaxChunkSize(MAX_CHUNK_BYTES);

  private final EventLoop loop;
  private final Class<? extends SocketChannel> channelClass;
  private final TargetProtocol protocol;
  private final Runnable onUnreachable;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<ActiveExchange> running = new LinkedHashSet<>();
  private Optional<TargetAnnouncement> target = Optional.empty();
  private boolean closed;

  /**
   * Creates a client without a target.
   *
   * @param loops event loops with one worker
   * @param protocol protocol of the target
   * @param onUnreachable run when the target accepts no new connection, or when another target
   *     responds at its address
   */
  public TargetClient(LoopResources loops, TargetProtocol protocol, Runnable onUnreachable) {
    this.loop = loops.onServer(true).next();
    this.channelClass = loops.onChannelClass(SocketChannel.class, loops.onServer(true));
    this.protocol = protocol;
    this.onUnreachable = onUnreachable;
  }

  /** Returns the protocol of the target. */
  TargetProtocol protocol() {
    return protocol;
  }

  /**
   * Sets the target. Running exchanges are not affected; idle connections are closed if the target
   * is another incarnation or has another address.
   *
   * @param a the target's announcement
   */
  public void setTarget(TargetAnnouncement a) {
    boolean same =
        target.filter(t -> t.isSameIncarnation(a) && t.address().equals(a.address())).isPresent();
    if (!same) {
      closeIdle();
    }
    target = Optional.of(a);
  }

  /** Removes the target and closes the idle connections. */
  public void clearTarget() {
    closeIdle();
    target = Optional.empty();
  }

  /**
   * Closes all connections. Running exchanges fail, and no request is sent from then on: a freed
   * slot would start the next one, only to be cut.
   */
  public void close() {
    closed = true;
    closeIdle();
    List.copyOf(running).forEach(ActiveExchange::close);
  }

  /**
   * Sends a request to the target.
   *
   * @param head the request
   * @param context its context at this daemon
   * @param body body of the request, if it is streamed
   * @param listener receives the outcome
   * @return cancels the exchange when disposed; the listener is not invoked afterwards
   */
  public Disposable send(
      AttemptHead head,
      RequestContext context,
      Flux<ByteBuf> body,
      TargetExchangeListener listener) {
    TargetExchange x = new TargetExchange(head, context, body, protocol, listener);
    if (closed) {
      loop.execute(() -> x.fail(false, ErrorCode.DRAINING, "the daemon closes"));
      return x::cancel;
    }
    if (target.isEmpty()) {
      loop.execute(() -> x.fail(false, ErrorCode.NO_TARGET, "no target has announced itself"));
      return x::cancel;
    }
    ActiveExchange active = new ActiveExchange(x, target.get(), context.deadlineNanos());
    running.add(active);
    active.start();
    return active::cancel;
  }

  /**
   * Fails the exchanges whose deadline has passed. Called periodically, since a timer for each
   * request costs more than the request's share of a periodic scan.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void expireOverdue(long nowNanos) {
    for (ActiveExchange r : List.copyOf(running)) {
      if (r.deadlineNanos - nowNanos <= 0) {
        r.expire();
      }
    }
  }

  /** Takes the connection that was used last, of those that can carry a request. */
  private Optional<TargetConnection> takeIdle(String requestId) {
    long now = System.nanoTime();
    Iterator<TargetConnection> latestFirst = idle.descendingIterator();
    while (latestFirst.hasNext()) {
      TargetConnection c = latestFirst.next();
      if (!c.isUsable(now)) {
        latestFirst.remove();
        c.close();
      } else if (!c.hasRefused(requestId)) {
        latestFirst.remove();
        return Optional.of(c);
      }
    }
    return Optional.empty();
  }

  private void closeIdle() {
    idle.forEach(TargetConnection::close);
    idle.clear();
  }

  private void releaseConnection(TargetConnection c, TargetAnnouncement to) {
    if (!closed && target.filter(to::isSameIncarnation).isPresent()) {
      idle.addLast(c);
    } else {
      c.close();
    }
  }

  private ChannelFuture connect(TargetConnection c, TargetAnnouncement to) {
    return new Bootstrap()
        .group(loop)
        .channel(channelClass)
        .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBufferAllocator())
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                ch.pipeline().addLast(new HttpRequestEncoder(), c.decoder(), c);
              }
            })
        .connect(to.address().address(), to.address().port());
  }

  /** One exchange, from the choice of a connection to its end. */
  private final class ActiveExchange {
    private final TargetExchange exchange;
    private final TargetAnnouncement to;
    private final long deadlineNanos;
    private Optional<TargetConnection> connection = Optional.empty();

    ActiveExchange(TargetExchange exchange, TargetAnnouncement to, long deadlineNanos) {
      this.exchange = exchange;
      this.to = to;
      this.deadlineNanos = deadlineNanos;
    }

    void start() {
      Optional<TargetConnection> reused = takeIdle(exchange.requestId());
      if (reused.isPresent()) {
        send(reused.get());
        return;
      }
      TargetConnection c =
          new TargetConnection(
              new TargetResponseDecoder(DECODER_CONFIG),
              done -> releaseConnection(done, to),
              onUnreachable);
      connect(c, to).addListener((ChannelFuture f) -> connected(c, f));
    }

    void expire() {
      running.remove(this);
      connection.ifPresent(c -> c.cancel(exchange));
      exchange.fail(connection.isPresent(), ErrorCode.DEADLINE_EXCEEDED, "deadline passed");
    }

    void close() {
      running.remove(this);
      connection.ifPresent(c -> c.cancel(exchange));
      exchange.fail(connection.isPresent(), ErrorCode.CONNECTION_LOST, "the daemon closes");
    }

    void cancel() {
      running.remove(this);
      exchange.cancel();
      connection.ifPresent(c -> c.cancel(exchange));
    }

    private void connected(TargetConnection c, ChannelFuture f) {
      if (!f.isSuccess()) {
        Logger.info(
            "target: cannot connect to {}, failing request as not run: {}",
            to.address(),
            f.cause().toString());
        running.remove(this);
        exchange.fail(false, ErrorCode.UNREACHABLE, "cannot connect");
        onUnreachable.run();
      } else if (exchange.isEnded()) {
        releaseConnection(c, to);
      } else {
        send(c);
      }
    }

    private void send(TargetConnection c) {
      connection = Optional.of(c);
      c.send(exchange, to, System.nanoTime(), () -> running.remove(this));
    }
  }
}
