package org.pomelohollow.daemon.internal.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.daemon.internal.call.CallHandler;
import org.pomelohollow.daemon.internal.io.Sockets;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;
import reactor.netty.resources.LoopResources;

/** All links of a daemon. Confined to the event loop. */
public final class Links implements LinkOwner {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long SILENCE_NANOS = Duration.ofSeconds(3).toNanos();

  private final MemberId self;
  private final PeerSecret secret;
  private final WireCodec codec;
  private final EventLoopGroup group;
  private final Class<? extends SocketChannel> clientChannel;
  private final Class<? extends ServerSocketChannel> serverChannel;
  private final CallHandler handler;
  private final LinkEvents events;
  private final Function<MemberId, Optional<Endpoint>> addresses;
  private final Map<MemberId, List<Link>> links = new HashMap<>();
  private final Map<Endpoint, Dial> dials = new HashMap<>();
  private Channel server;

  /**
   * Creates links.
   *
   * @param self this daemon
   * @param secret secret of all daemons
   * @param codec codec of messages
   * @param loops event loops with one worker
   * @param handler runs the calls of peers
   * @param events hears of peers
   * @param addresses finds the address of a member
   */
  public Links(
      MemberId self,
      PeerSecret secret,
      WireCodec codec,
      LoopResources loops,
      CallHandler handler,
      LinkEvents events,
      Function<MemberId, Optional<Endpoint>> addresses) {
    this.self = self;
    this.secret = secret;
    this.codec = codec;
    this.group = loops.onServer(true);
    this.clientChannel = loops.onChannelClass(SocketChannel.class, group);
    this.serverChannel = loops.onChannelClass(ServerSocketChannel.class, group);
    this.handler = handler;
    this.events = events;
    this.addresses = addresses;
  }

  /**
   * Starts to listen.
   *
   * @param address address to bind
   * @return the bound port
   * @throws PomelohollowException with {@link ErrorCode#ADDRESS_UNAVAILABLE}
   */
  public int listen(Endpoint address) {
    ChannelFuture f =
        new ServerBootstrap()
            .group(group)
            .channel(serverChannel)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.reads())
            .childHandler(initializer(false, Optional.empty()))
            .bind(address.address(), address.port())
            .awaitUninterruptibly();
    if (!f.isSuccess()) {
      throw new PomelohollowException(
          ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen on " + address, f.cause());
    }
    server = f.channel();
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /**
   * Sends a message to a member, best effort.
   *
   * @param to receiver
   * @param m the message
   */
  public void send(MemberId to, PeerMessage m) {
    Optional<Link> l = find(to);
    if (l.isPresent()) {
      send(l.get(), m);
      return;
    }
    Optional<Endpoint> a = addresses.apply(to);
    if (a.isEmpty()) {
      return;
    }
    dial(a.get(), Optional.of(to), link -> link.ifPresent(up -> send(up, m)));
  }

  /**
   * Sends a message to an address, best effort.
   *
   * @param to address of a peer link
   * @param m the message
   */
  public void send(Endpoint to, PeerMessage m) {
    dial(to, Optional.empty(), link -> link.ifPresent(up -> send(up, m)));
  }

  /**
   * Starts a call at a peer.
   *
   * @param to the peer
   * @param head the call
   * @param body body of the call
   * @param sink takes the outcome
   * @return abandons the call when run
   */
  public Runnable call(MemberId to, AttemptHead head, Flux<ByteBuf> body, AnswerSink sink) {
    Optional<Link> l = find(to);
    if (l.isPresent()) {
      return l.get().call(head, body, sink);
    }
    Optional<Endpoint> a = addresses.apply(to);
    if (a.isEmpty()) {
      sink.refused(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
      return () -> {};
    }
    PendingCall p = new PendingCall(head, body, sink);
    dial(a.get(), Optional.of(to), link -> p.connected(link.filter(up -> up.peer().equals(to))));
    return p::abandon;
  }

  /** Closes links that carry calls and have been silent, and keeps the others alive. */
  public void checkLiveness() {
    long now = System.nanoTime();
    for (Link l : all()) {
      if (l.streamCount() > 0 && now - l.receivedNanos() > SILENCE_NANOS) {
        l.close();
      } else {
        l.ping();
      }
    }
  }

  /** Returns the number of links that are up. */
  public int count() {
    return all().size();
  }

  /** Stops to listen and closes all links. */
  public void close() {
    if (server != null) {
      server.close();
    }
    all().forEach(Link::close);
  }

  @Override
  public void up(Link link) {
    List<Link> l = links.computeIfAbsent(link.peer(), k -> new ArrayList<>());
    l.add(link);
    if (l.size() == 1) {
      events.up(link.peer());
    }
  }

  @Override
  public void down(Link link, boolean wasUp) {
    if (!wasUp) {
      return;
    }
    List<Link> l = links.getOrDefault(link.peer(), new ArrayList<>());
    l.remove(link);
    if (l.isEmpty()) {
      links.remove(link.peer());
      events.lost(link.peer());
    }
  }

  @Override
  public void failed(Link link, Throwable cause) {
    if (!(cause instanceof IOException)) {
      events.rejected(cause.getMessage());
    }
  }

  @Override
  public void received(Link link, PeerMessage message, int bytes) {
    events.received(link.peer(), message, bytes);
  }

  private List<Link> all() {
    return links.values().stream().flatMap(List::stream).toList();
  }

  private Optional<Link> find(MemberId to) {
    return links.getOrDefault(to, List.of()).stream().filter(Link::isUp).findFirst();
  }

  private void send(Link l, PeerMessage m) {
    byte[] b = codec.encode(m);
    events.sent(m, b.length);
    l.sendControl(b);
  }

  private void dial(Endpoint to, Optional<MemberId> expected, Dial.Listener listener) {
    Dial d = dials.get(to);
    if (d != null) {
      d.add(listener);
      return;
    }
    Dial started = new Dial(listener);
    dials.put(to, started);
    ChannelFuture f =
        new Bootstrap()
            .group(group)
            .channel(clientChannel)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.reads())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(true, Optional.of(started)))
            .connect(to.address(), to.port());
    f.addListener(
        c -> {
          if (!c.isSuccess()) {
            started.settle(Optional.empty());
          }
        });
    started.add(
        link -> {
          dials.remove(to);
          if (link.isEmpty()) {
            expected.ifPresent(events::lost);
          }
        });
    f.channel()
        .eventLoop()
        .schedule(
            () -> started.settle(Optional.empty()), CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private ChannelHandler initializer(boolean dialer, Optional<Dial> dial) {
    return new ChannelInitializer<SocketChannel>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        LinkOwner o = dial.<LinkOwner>map(d -> new DialedOwner(Links.this, d)).orElse(Links.this);
        Link l = new Link(codec, new Handshake(secret, self, dialer), dialer, o, handler);
        ch.pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    FrameCodec.MAX_FRAME_BYTES,
                    0,
                    FrameCodec.LENGTH_BYTES,
                    0,
                    FrameCodec.LENGTH_BYTES))
            .addLast(new LengthFieldPrepender(FrameCodec.LENGTH_BYTES))
            .addLast(new FrameCodec())
            .addLast(l);
      }
    };
  }
}
