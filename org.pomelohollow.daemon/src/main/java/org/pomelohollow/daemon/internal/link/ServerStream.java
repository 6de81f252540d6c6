package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptFailure;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/** The target's daemon's side of a stream: receives an attempt and sends its response. */
final class ServerStream implements LinkStream, ResponseListener {
  private final Link link;
  private final long id;
  private final WireCodec codec;

  /** Present once a streamed response has started. */
  private Optional<BodySender> sender = Optional.empty();

  /** Present if the request body is streamed. */
  private Optional<BodyReceiver> receiver = Optional.empty();

  private Runnable cancelAttempt = () -> {};
  private boolean ended;

  ServerStream(Link link, long id, WireCodec codec) {
    this.link = link;
    this.id = id;
    this.codec = codec;
  }

  void start(AttemptHead head, AttemptHandler handler) {
    if (head.streamedLength().isPresent()) {
      receiver =
          Optional.of(new BodyReceiver(true, n -> link.send(Frame.of(FrameType.CREDIT, id, n))));
    }
    cancelAttempt =
        handler.startAttempt(head, receiver.map(BodyReceiver::flux).orElse(Flux.empty()), this);
  }

  @Override
  public void receive(Frame f) {
    switch (f.type()) {
      case CREDIT -> {
        f.payload().release();
        sender.ifPresent(s -> s.addCredit(f.number()));
      }
      case DATA -> receiverOf(f).receive(f.payload());
      case END -> {
        BodyReceiver r = receiverOf(f);
        f.payload().release();
        r.end(f.number());
      }
      case RESET -> {
        f.payload().release();
        linkLost();
      }
      default -> link.rejectFrame(f);
    }
  }

  @Override
  public void linkLost() {
    if (!ended) {
      close();
      receiver.ifPresent(BodyReceiver::fail);
      sender.ifPresent(BodySender::cancel);
      cancelAttempt.run();
    }
  }

  @Override
  public void linkSilent() {
    // The request goes on: the entry daemon may resume, and the deadline bounds it otherwise.
  }

  @Override
  public void responseStarted(ResponseHead head, Flux<ByteBuf> body) {
    if (ended) {
      body.subscribe(ByteBuf::release).dispose();
      return;
    }
    BodySender s =
        new BodySender(
            BodyReceiver.WINDOW_BYTES,
            b -> link.send(new Frame(FrameType.DATA, id, 0, b)),
            this::bodyEnded,
            this::bodyFailed);
    sender = Optional.of(s);
    link.send(Frame.of(FrameType.RESPONSE_HEAD, id, codec.encode(head)));
    body.subscribe(s);
  }

  @Override
  public void fullResponseReceived(ResponseHead head, ByteBuf body) {
    if (ended) {
      body.release();
      return;
    }
    close();
    byte[] h = codec.encode(head);
    ByteBuf all = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(h), body);
    link.send(new Frame(FrameType.FULL_RESPONSE, id, h.length, all));
  }

  @Override
  public void failed(Verdict verdict, Optional<TargetLoad> load) {
    if (!ended) {
      close();
      link.send(Frame.of(FrameType.FAILURE, id, codec.encode(AttemptFailure.of(verdict, load))));
    }
  }

  /** Returns the receiver of the request body; rejects a frame of a body that is not streamed. */
  private BodyReceiver receiverOf(Frame f) {
    if (receiver.isEmpty()) {
      link.rejectFrame(f);
    }
    return receiver.orElseThrow();
  }

  private void bodyEnded(long length) {
    if (!ended) {
      close();
      link.send(Frame.of(FrameType.END, id, length));
    }
  }

  private void bodyFailed() {
    if (!ended) {
      close();
      link.send(Frame.of(FrameType.RESET, id, 0));
    }
  }

  private void close() {
    ended = true;
    link.removeStream(id);
  }
}
