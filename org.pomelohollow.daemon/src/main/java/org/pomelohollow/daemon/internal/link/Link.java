package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.daemon.internal.call.CallHandler;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Hello;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/**
 * A connection to a peer. Streams opened by the dialing side have odd identifiers, the others even
 * ones; none is used again in the life of the connection, and frames of ended streams are dropped.
 */
final class Link extends SimpleChannelInboundHandler<Frame> {
  private static final int STREAM_STEP = 2;
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;

  private final WireCodec codec;
  private final Handshake handshake;
  private final boolean dialer;
  private final LinkOwner owner;
  private final CallHandler handler;
  private final Map<Long, LinkStream> streams = new HashMap<>();
  private Channel channel;
  private long nextStream;
  private long highestPeerStream;
  private long receivedNanos = System.nanoTime();
  private boolean up;
  private boolean reading;

  Link(WireCodec codec, Handshake handshake, boolean dialer, LinkOwner owner, CallHandler handler) {
    super(false);
    this.codec = codec;
    this.handshake = handshake;
    this.dialer = dialer;
    this.owner = owner;
    this.handler = handler;
    this.nextStream = dialer ? 1 : STREAM_STEP;
  }

  /** Returns the peer. Known once the link is up. */
  MemberId peer() {
    return handshake.peer();
  }

  boolean isUp() {
    return up && channel.isActive();
  }

  int streamCount() {
    return streams.size();
  }

  /** Returns when the last frame came, in nanoseconds of the monotonic clock. */
  long receivedNanos() {
    return receivedNanos;
  }

  void sendControl(byte[] message) {
    send(Frame.of(FrameType.CONTROL, 0, message));
  }

  void ping() {
    send(Frame.of(FrameType.PING, 0, 0));
  }

  Runnable call(AttemptHead head, Flux<ByteBuf> body, AnswerSink sink) {
    long id = nextStream;
    nextStream += STREAM_STEP;
    CallingStream s = new CallingStream(this, id, codec, body, sink);
    streams.put(id, s);
    s.open(head);
    return s::abandon;
  }

  void close() {
    channel.close();
  }

  void send(Frame f) {
    if (reading) {
      channel.write(f, channel.voidPromise());
    } else {
      channel.writeAndFlush(f, channel.voidPromise());
    }
  }

  void remove(long id) {
    streams.remove(id);
  }

  void violation(Frame f) {
    f.payload().release();
    throw new PomelohollowException(
        ErrorCode.WIRE_MALFORMED, "unexpected " + f.type() + " on stream " + f.stream());
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    send(Frame.of(FrameType.HELLO, 0, codec.encode(handshake.own())));
    ctx.executor().schedule(this::closeUnlessUp, HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, Frame f) {
    reading = true;
    receivedNanos = System.nanoTime();
    if (!up) {
      greet(f);
    } else if (f.stream() == 0) {
      control(f);
    } else {
      stream(f);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reading = false;
    ctx.flush();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    boolean wasUp = up;
    up = false;
    List.copyOf(streams.values()).forEach(LinkStream::linkLost);
    streams.clear();
    owner.down(this, wasUp);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable t) {
    owner.failed(this, t);
    ctx.close();
  }

  private void closeUnlessUp() {
    if (!up) {
      channel.close();
    }
  }

  private void greet(Frame f) {
    switch (f.type()) {
      case HELLO -> {
        byte[] proof = handshake.answer(codec.decode(Hello.class, f.takeBytes()));
        send(Frame.of(FrameType.PROOF, 0, proof));
      }
      case PROOF -> {
        handshake.verify(f.takeBytes());
        up = true;
        owner.up(this);
      }
      default -> violation(f);
    }
  }

  private void control(Frame f) {
    switch (f.type()) {
      case CONTROL -> {
        byte[] b = f.takeBytes();
        PeerMessage m = codec.decodeMessage(b);
        owner.received(this, m, b.length);
      }
      case PING -> f.payload().release();
      default -> violation(f);
    }
  }

  private void stream(Frame f) {
    LinkStream s = streams.get(f.stream());
    if (s != null) {
      s.receive(f);
    } else if (f.type() == FrameType.CALL) {
      accept(f);
    } else if (isKnown(f.stream())) {
      f.payload().release();
    } else {
      violation(f);
    }
  }

  private void accept(Frame f) {
    boolean ownParity = (f.stream() % STREAM_STEP == 1) == dialer;
    if (ownParity || f.stream() <= highestPeerStream) {
      violation(f);
    }
    highestPeerStream = f.stream();
    AttemptHead head = codec.decode(AttemptHead.class, f.takeBytes());
    ServingStream s = new ServingStream(this, f.stream(), codec);
    streams.put(f.stream(), s);
    s.start(head, handler);
  }

  private boolean isKnown(long id) {
    boolean ownParity = (id % STREAM_STEP == 1) == dialer;
    return ownParity ? id < nextStream : id <= highestPeerStream;
  }
}
