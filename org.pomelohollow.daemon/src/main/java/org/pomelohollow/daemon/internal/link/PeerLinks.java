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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.ResponseListener;
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

/**
 * All links of a daemon to its peers, which are established when something is first sent to a peer.
 * Confined to the event loop.
 */
public final class PeerLinks implements LinkListener {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final MemberId self;
  private final PeerSecret secret;
  private final WireCodec codec;
  private final EventLoopGroup group;
  private final Class<? extends SocketChannel> clientChannel;
  private final Class<? extends ServerSocketChannel> serverChannel;
  private final AttemptHandler handler;
  private final PeerLinkListener peerListener;
  private final Function<MemberId, Optional<Endpoint>> addresses;
  private final Map<MemberId, List<Link>> links = new HashMap<>();
  private final Map<Endpoint, PendingConnection> pendingConnections = new HashMap<>();
  private Channel server;

  /**
   * Creates an instance without links.
   *
   * @param self this daemon
   * @param secret secret that all daemons share
   * @param codec codec of messages
   * @param loops event loop resources with one worker
   * @param handler runs the attempts that peers send
   * @param peerListener receives the events of links
   * @param addresses returns the peer link address of a member, if it is known
   */
  public PeerLinks(
      MemberId self,
      PeerSecret secret,
      WireCodec codec,
      LoopResources loops,
      AttemptHandler handler,
      PeerLinkListener peerListener,
      Function<MemberId, Optional<Endpoint>> addresses) {
    this.self = self;
    this.secret = secret;
    this.codec = codec;
    this.group = loops.onServer(true);
    this.clientChannel = loops.onChannelClass(SocketChannel.class, group);
    this.serverChannel = loops.onChannelClass(ServerSocketChannel.class, group);
    this.handler = handler;
    this.peerListener = peerListener;
    this.addresses = addresses;
  }

  /**
   * Starts listening for connections of peers.
   *
   * @param address address to bind
   * @return the bound port
   * @throws PomelohollowException with {@link ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
   */
  public int listen(Endpoint address) {
    ChannelFuture f =
        new ServerBootstrap()
            .group(group)
            .channel(serverChannel)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBufferAllocator())
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
   * Sends a control message to a member without guarantee of delivery.
   *
   * @param to the receiving member
   * @param m the message
   */
  public void send(MemberId to, PeerMessage m) {
    Optional<Link> l = findLink(to);
    if (l.isPresent()) {
      send(l.get(), m);
      return;
    }
    Optional<Endpoint> a = addresses.apply(to);
    if (a.isEmpty()) {
      return;
    }
    connect(a.get(), Optional.of(to), link -> link.ifPresent(up -> send(up, m)));
  }

  /**
   * Sends a control message to an address without guarantee of delivery.
   *
   * @param to address of a peer link
   * @param m the message
   */
  public void send(Endpoint to, PeerMessage m) {
    connect(to, Optional.empty(), link -> link.ifPresent(up -> send(up, m)));
  }

  /**
   * Starts an attempt at a peer's target.
   *
   * @param to the peer
   * @param head head of the attempt
   * @param body body of the request, if it is streamed
   * @param responseListener receives the outcome
   * @return cancels the attempt when run
   */
  public Runnable startAttempt(
      MemberId to, AttemptHead head, Flux<ByteBuf> body, ResponseListener responseListener) {
    Optional<Link> l = findLink(to);
    if (l.isPresent()) {
      return l.get().startAttempt(head, body, responseListener);
    }
    Optional<Endpoint> a = addresses.apply(to);
    if (a.isEmpty()) {
      responseListener.failed(new Verdict.NotRun(ErrorCode.UNREACHABLE), Optional.empty());
      return () -> {};
    }
    PendingAttempt p = new PendingAttempt(head, body, responseListener);
    connect(a.get(), Optional.of(to), link -> p.connected(link.filter(up -> up.peer().equals(to))));
    return p::cancel;
  }

  /** Sends a ping on all links and looks for those on which nothing is received any more. */
  public void checkLiveness() {
    long now = System.nanoTime();
    for (Link l : allLinks()) {
      l.ping();
      l.checkSilence(now);
    }
  }

  /** Returns the number of links that are up. */
  public int count() {
    return allLinks().size();
  }

  /** Stops listening and closes all links. */
  public void close() {
    if (server != null) {
      server.close();
    }
    allLinks().forEach(Link::close);
  }

  @Override
  public void linkUp(Link link) {
    List<Link> l = links.computeIfAbsent(link.peer(), k -> new ArrayList<>());
    l.add(link);
    if (l.size() == 1) {
      peerListener.peerUp(link.peer());
    }
  }

  @Override
  public void linkDown(Link link, boolean wasUp) {
    if (!wasUp) {
      return;
    }
    List<Link> l = links.getOrDefault(link.peer(), new ArrayList<>());
    l.remove(link);
    if (l.isEmpty()) {
      links.remove(link.peer());
      peerListener.peerLost(link.peer());
    }
  }

  @Override
  public void linkFailed(Link link, Throwable cause) {
    if (!(cause instanceof IOException)) {
      peerListener.connectionRejected(cause.getMessage());
    }
  }

  @Override
  public void messageReceived(Link link, PeerMessage message, int bytes) {
    peerListener.messageReceived(link.peer(), message, bytes);
  }

  private List<Link> allLinks() {
    return links.values().stream().flatMap(List::stream).toList();
  }

  private Optional<Link> findLink(MemberId to) {
    return links.getOrDefault(to, List.of()).stream().filter(Link::isUp).findFirst();
  }

  private void send(Link l, PeerMessage m) {
    byte[] b = codec.encode(m);
    peerListener.messageSent(m, b.length);
    l.sendControl(b);
  }

  private void connect(
      Endpoint to, Optional<MemberId> expectedPeer, PendingConnection.Listener listener) {
    PendingConnection d = pendingConnections.get(to);
    if (d != null) {
      d.add(listener);
      return;
    }
    PendingConnection pending = new PendingConnection(listener);
    pendingConnections.put(to, pending);
    ChannelFuture f =
        new Bootstrap()
            .group(group)
            .channel(clientChannel)
            .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readBufferAllocator())
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(initializer(true, Optional.of(pending)))
            .connect(to.address(), to.port());
    f.addListener(
        c -> {
          if (!c.isSuccess()) {
            pending.complete(Optional.empty());
          }
        });
    pending.add(
        link -> {
          pendingConnections.remove(to);
          if (link.isEmpty()) {
            expectedPeer.ifPresent(peerListener::peerLost);
          }
        });
    f.channel()
        .eventLoop()
        .schedule(
            () -> pending.complete(Optional.empty()),
            CONNECT_TIMEOUT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private ChannelHandler initializer(boolean initiator, Optional<PendingConnection> pending) {
    return new ChannelInitializer<SocketChannel>() {
      @Override
      protected void initChannel(SocketChannel ch) {
        LinkListener o =
            pending
                .<LinkListener>map(d -> new PendingConnectionListener(PeerLinks.this, d))
                .orElse(PeerLinks.this);
        Link l = new Link(codec, new Handshake(secret, self, initiator), initiator, o, handler);
        ch.pipeline().addLast(new FrameDecoder()).addLast(new FrameEncoder()).addLast(l);
      }
    };
  }
}
