package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Hello;
import org.pomelohollow.wire.WireCodec;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;

/**
 * A connection to a peer. Streams opened by the initiator of the connection have odd identifiers,
 * the others even ones; no identifier is reused on a connection, and frames of ended streams are
 * dropped.
 */
final class Link extends SimpleChannelInboundHandler<Frame> {
  private static final int STREAM_STEP = 2;
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;
  private static final long MAX_SILENCE_NANOS = Duration.ofSeconds(3).toNanos();

  private final WireCodec codec;
  private final Handshake handshake;
  private final boolean initiator;
  private final LinkListener listener;
  private final AttemptHandler handler;
  private final Map<Long, LinkStream> streams = new HashMap<>();
  private final List<ServerStream> unstarted = new ArrayList<>();
  private Channel channel;
  private long nextStream;
  private long highestPeerStream;
  private long lastReceivedNanos = System.nanoTime();
  private boolean up;
  private boolean silent;
  private boolean reading;

  Link(
      WireCodec codec,
      Handshake handshake,
      boolean initiator,
      LinkListener listener,
      AttemptHandler handler) {
    super(false);
    this.codec = codec;
    this.handshake = handshake;
    this.initiator = initiator;
    this.listener = listener;
    this.handler = handler;
    this.nextStream = initiator ? 1 : STREAM_STEP;
  }

  /** Returns the identity of the peer, which is known once the link is up. */
  MemberId peer() {
    return handshake.peer();
  }

  /**
   * Returns whether the handshake has succeeded and the connection is open and not {@linkplain
   * #checkSilence silent}.
   */
  boolean isUp() {
    return up && !silent && channel.isActive();
  }

  /**
   * Checks whether the peer, which sends a ping every second, was silent for too long.
   *
   * <p>A silent link gets no new attempts. Attempts of idempotent requests end, so that they can be
   * made elsewhere. Others, and the peer's own, go on until their deadlines: the peer may only be
   * paused, and giving them up would lose responses that it can still deliver. The link is closed
   * once it has no streams.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void checkSilence(long nowNanos) {
    if (!up || nowNanos - lastReceivedNanos <= MAX_SILENCE_NANOS) {
      return;
    }
    if (!silent) {
      silent = true;
      Logger.info("links: {} is silent, {} open streams", peer(), streams.size());
    }
    List.copyOf(streams.values()).forEach(LinkStream::linkSilent);
    if (streams.isEmpty()) {
      close();
    }
  }

  void sendControl(byte[] message) {
    send(Frame.of(FrameType.CONTROL, 0, message));
  }

  void ping() {
    send(Frame.of(FrameType.PING, 0, 0));
  }

  /** Opens a stream for an attempt; the result cancels the attempt when run. */
  Runnable startAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener responseListener) {
    long id = nextStream;
    nextStream += STREAM_STEP;
    ClientStream s = new ClientStream(this, id, codec, body, responseListener);
    streams.put(id, s);
    s.open(head);
    return s::cancel;
  }

  void close() {
    channel.close();
  }

  /** Sends a frame; frames sent while input is processed are flushed together afterwards. */
  void send(Frame f) {
    if (reading) {
      channel.write(f, channel.voidPromise());
    } else {
      channel.writeAndFlush(f, channel.voidPromise());
    }
  }

  void removeStream(long id) {
    streams.remove(id);
  }

  /** Throws, which closes the link, because the peer sent a frame that the protocol forbids. */
  void rejectFrame(Frame f) {
    f.payload().release();
    throw new PomelohollowException(
        ErrorCode.WIRE_MALFORMED, "unexpected frame " + f.type() + " on stream " + f.stream());
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    send(Frame.of(FrameType.HELLO, 0, codec.encode(handshake.own())));
    ctx.executor()
        .schedule(this::closeIfHandshakePending, HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
    reading = true;
    silent = false;
    lastReceivedNanos = System.nanoTime();
    if (!up) {
      receiveHandshake(f);
    } else if (f.stream() == 0) {
      receiveControl(f);
    } else {
      receiveOnStream(f);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    startAttempts();
    reading = false;
    ctx.flush();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    boolean wasUp = up;
    up = false;
    List.copyOf(streams.values()).forEach(LinkStream::linkLost);
    streams.clear();
    listener.linkDown(this, wasUp);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable t) {
    listener.linkFailed(this, t);
    ctx.close();
  }

  private void closeIfHandshakePending() {
    if (!up) {
      channel.close();
    }
  }

  private void receiveHandshake(Frame f) {
    switch (f.type()) {
      case HELLO -> {
        byte[] proof = handshake.createProof(codec.decode(Hello.class, f.takeBytes()));
        send(Frame.of(FrameType.PROOF, 0, proof));
      }
      case PROOF -> {
        handshake.verifyProof(f.takeBytes());
        up = true;
        listener.linkUp(this);
      }
      default -> rejectFrame(f);
    }
  }

  private void receiveControl(Frame f) {
    switch (f.type()) {
      case CONTROL -> {
        byte[] b = f.takeBytes();
        PeerMessage m = codec.decodeMessage(b);
        listener.messageReceived(this, m, b.length);
      }
      case PING -> f.payload().release();
      default -> rejectFrame(f);
    }
  }

  private void receiveOnStream(Frame f) {
    LinkStream s = streams.get(f.stream());
    if (s != null) {
      s.receive(f);
    } else if (f.type() == FrameType.ATTEMPT) {
      acceptStream(f);
    } else if (wasOpened(f.stream())) {
      f.payload().release();
    } else {
      rejectFrame(f);
    }
  }

  private void acceptStream(Frame f) {
    boolean ownParity = (f.stream() % STREAM_STEP == 1) == initiator;
    if (ownParity || f.stream() <= highestPeerStream) {
      rejectFrame(f);
    }
    highestPeerStream = f.stream();
    AttemptHead head = codec.decode(AttemptHead.class, f.takeBytes());
    ServerStream s = new ServerStream(this, f.stream(), codec, head);
    streams.put(f.stream(), s);
    unstarted.add(s);
  }

  /** Starts the attempts that were received and not reset since. */
  private void startAttempts() {
    List<ServerStream> all = List.copyOf(unstarted);
    unstarted.clear();
    all.forEach(s -> s.start(handler));
  }

  private boolean wasOpened(long id) {
    boolean ownParity = (id % STREAM_STEP == 1) == initiator;
    return ownParity ? id < nextStream : id <= highestPeerStream;
  }
}
