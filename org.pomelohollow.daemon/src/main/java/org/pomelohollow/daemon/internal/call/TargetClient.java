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
 * Hands requests to the target over HTTP/1.1. A request is sent at most once: neither a connection
 * that was closed under it nor a lost answer leads to another send.
 */
public final class TargetClient {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /** Targets close connections that were idle for longer than 10 s; half of it is safe. */
  private static final long MAX_IDLE_NANOS = Duration.ofSeconds(5).toNanos();

  private static final int MAX_HEADER_BYTES = 64 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final HttpDecoderConfig DECODER =
      new HttpDecoderConfig()
          .setMaxInitialLineLength(MAX_HEADER_BYTES)
          .setMaxHeaderSize(MAX_HEADER_BYTES)
          .setMaxChunkSize(MAX_CHUNK_BYTES);

  private final EventLoop loop;
  private final Class<? extends SocketChannel> channelClass;
  private final TargetProtocol protocol;
  private final Runnable unreachable;
  private final Deque<TargetConnection> idle = new ArrayDeque<>();
  private final Set<Run> running = new LinkedHashSet<>();
  private Optional<TargetAnnouncement> target = Optional.empty();

  /**
   * Creates a client without a target.
   *
   * @param loops event loops with one worker
   * @param protocol what the target speaks
   * @param unreachable told when the target does not take a new connection, or is another one
   */
  public TargetClient(LoopResources loops, TargetProtocol protocol, Runnable unreachable) {
    this.loop = loops.onServer(true).next();
    this.channelClass = loops.onChannelClass(SocketChannel.class, loops.onServer(true));
    this.protocol = protocol;
    this.unreachable = unreachable;
  }

  /**
   * Sets the target. Requests under way are not touched.
   *
   * @param a what it said of itself
   */
  public void setTarget(TargetAnnouncement a) {
    boolean same =
        target.filter(t -> t.isSameIncarnation(a) && t.address().equals(a.address())).isPresent();
    if (!same) {
      closeIdle();
    }
    target = Optional.of(a);
  }

  /** Forgets the target and closes connections that are not in use. */
  public void clearTarget() {
    closeIdle();
    target = Optional.empty();
  }

  /**
   * Sends a request to the target.
   *
   * @param head the request
   * @param context its context at this daemon
   * @param body its body, if streamed
   * @param listener hears the outcome
   * @return cuts the exchange when disposed; nothing is told afterwards
   */
  public Disposable exchange(
      AttemptHead head, RequestContext context, Flux<ByteBuf> body, TargetListener listener) {
    TargetExchange x = new TargetExchange(head, context, body, protocol, listener);
    if (target.isEmpty()) {
      loop.execute(() -> x.fail(false, ErrorCode.NO_TARGET, "no target"));
      return x::abandon;
    }
    Run run = new Run(x, target.get(), context.deadlineNanos());
    running.add(run);
    run.start();
    return run::cancel;
  }

  /**
   * Ends the requests that are out of time. Called from time to time, since a timer for each
   * request costs more than the request's share of a sweep.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void expire(long nowNanos) {
    for (Run r : List.copyOf(running)) {
      if (r.deadlineNanos - nowNanos <= 0) {
        r.expire();
      }
    }
  }

  private Optional<TargetConnection> takeIdle() {
    long now = System.nanoTime();
    while (!idle.isEmpty()) {
      TargetConnection c = idle.removeLast();
      if (c.isUsable() && now - c.idleSinceNanos() < MAX_IDLE_NANOS) {
        return Optional.of(c);
      }
      c.close();
    }
    return Optional.empty();
  }

  private void closeIdle() {
    idle.forEach(TargetConnection::close);
    idle.clear();
  }

  private void released(TargetConnection c, TargetAnnouncement to) {
    if (target.filter(to::isSameIncarnation).isPresent()) {
      idle.addLast(c);
    } else {
      c.close();
    }
  }

  private ChannelFuture connect(TargetConnection c, TargetAnnouncement to) {
    return new Bootstrap()
        .group(loop)
        .channel(channelClass)
        .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.reads())
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

  /** One exchange from the search for a connection to its end. */
  private final class Run {
    private final TargetExchange exchange;
    private final TargetAnnouncement to;
    private final long deadlineNanos;
    private Optional<TargetConnection> connection = Optional.empty();

    Run(TargetExchange exchange, TargetAnnouncement to, long deadlineNanos) {
      this.exchange = exchange;
      this.to = to;
      this.deadlineNanos = deadlineNanos;
    }

    void start() {
      Optional<TargetConnection> free = takeIdle();
      if (free.isPresent()) {
        send(free.get());
        return;
      }
      TargetConnection c =
          new TargetConnection(new AnswerDecoder(DECODER), done -> released(done, to), unreachable);
      connect(c, to).addListener((ChannelFuture f) -> connected(c, f));
    }

    void expire() {
      running.remove(this);
      connection.ifPresent(c -> c.abandon(exchange));
      exchange.fail(connection.isPresent(), ErrorCode.DEADLINE_EXCEEDED, "out of time");
    }

    void cancel() {
      running.remove(this);
      exchange.abandon();
      connection.ifPresent(c -> c.abandon(exchange));
    }

    private void connected(TargetConnection c, ChannelFuture f) {
      if (!f.isSuccess()) {
        Logger.info("target: no connection: {}", f.cause().toString());
        running.remove(this);
        exchange.fail(false, ErrorCode.UNREACHABLE, "no connection");
        unreachable.run();
      } else if (exchange.isOver()) {
        idle.addLast(c);
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
