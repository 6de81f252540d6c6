package org.pomelohollow.daemon.internal.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.pomelohollow.daemon.internal.io.BodyBudget;
import org.pomelohollow.daemon.internal.io.Sockets;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import reactor.netty.resources.LoopResources;

/**
 * HTTP/1.1 server whose connections run pipelined requests concurrently. Reactor Netty's server
 * runs them one after the other, so that a caller's requests would wait for each other.
 */
public final class InboundServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  private final Channel channel;
  private final Set<InboundConnection> open;
  private final long idleNanos;

  private InboundServer(Channel channel, Set<InboundConnection> open, long idleNanos) {
    this.channel = channel;
    this.open = open;
    this.idleNanos = idleNanos;
  }

  /**
   * Starts a server.
   *
   * @param address address to bind
   * @param loops event loop resources with one worker
   * @param limits bounds on request sizes and on the time that a connection may be idle
   * @param budget bounds the bytes of request bodies that are held
   * @param shuttingDown returns whether connections are to be closed after their last response
   * @param onReadingPaused run when a connection with open requests is not read any further for now
   * @param handler handles the requests
   * @return the running server
   * @throws PomelohollowException with {@link ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
   */
  public static InboundServer start(
      Endpoint address,
      LoopResources loops,
      Settings.Limits limits,
      BodyBudget budget,
      BooleanSupplier shuttingDown,
      Runnable onReadingPaused,
      InboundHandler handler) {
    EventLoopGroup group = loops.onServer(true);
    Set<InboundConnection> open = new HashSet<>();
    ChannelFuture f =
        new ServerBootstrap()
            .group(group)
            .channel(loops.onChannelClass(ServerSocketChannel.class, group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBufferAllocator())
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel ch) {
                    ch.pipeline()
                        .addLast(new HttpServerCodec(decoder(limits)))
                        .addLast(
                            new InboundConnection(
                                handler,
                                shuttingDown,
                                limits.maxBodyBytes(),
                                budget,
                                new Connections(open, onReadingPaused)));
                  }
                })
            .bind(address.address(), address.port())
            .awaitUninterruptibly();
    if (!f.isSuccess()) {
      throw new PomelohollowException(
          ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen on " + address, f.cause());
    }
    return new InboundServer(f.channel(), open, limits.idleTimeout().toNanos());
  }

  /** Returns the bound address. */
  public Endpoint address() {
    InetSocketAddress a = (InetSocketAddress) channel.localAddress();
    return new Endpoint(a.getAddress().getHostAddress(), a.getPort());
  }

  /** Stops listening. Open connections stay open. */
  @Override
  public void close() {
    channel.close();
  }

  /**
   * Stops listening and accepts no further request on open connections: idle connections are closed
   * at once, the others after their last due response. Requests that have started may still send
   * the rest of their bodies, until {@link #abortUploads}.
   */
  public void drain() {
    close();
    List.copyOf(open).forEach(InboundConnection::drain);
  }

  /** Returns whether no connection has a due response or may carry a request that must be read. */
  public boolean isDrained() {
    return open.stream().noneMatch(InboundConnection::isBusy);
  }

  /** Ends the requests whose bodies are still being received after {@link #drain}. */
  public void abortUploads() {
    List.copyOf(open).forEach(InboundConnection::abortUpload);
  }

  /**
   * Closes the connections that have been idle for longer than the idle timeout.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void closeIdle(long nowNanos) {
    for (InboundConnection c : List.copyOf(open)) {
      c.closeIfIdle(nowNanos - idleNanos);
    }
  }

  /** Keeps the set of open connections. */
  private record Connections(Set<InboundConnection> open, Runnable onReadingPaused)
      implements InboundConnection.Listener {
    @Override
    public void opened(InboundConnection c) {
      open.add(c);
    }

    @Override
    public void closed(InboundConnection c) {
      open.remove(c);
    }

    @Override
    public void readingPaused(InboundConnection c) {
      onReadingPaused.run();
    }
  }

  private static HttpDecoderConfig decoder(Settings.Limits limits) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(limits.maxHeaderBytes())
        .setMaxHeaderSize(limits.maxHeaderBytes())
        .setValidateHeaders(true)
        .setAllowDuplicateContentLengths(false);
  }
}
