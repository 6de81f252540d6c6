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
  private final StreamBodies bodies;
  private final AttemptHead head;
  private final Flux<ByteBuf> requestBody;
  private Runnable cancelAttempt = () -> {};
  private boolean ended;

  ServerStream(Link link, long id, WireCodec codec, AttemptHead head) {
    this.link = link;
    this.id = id;
    this.codec = codec;
    this.bodies = new StreamBodies(link, id);
    this.head = head;
    this.requestBody =
        head.streamedLength().isPresent() ? bodies.createReceiver(true).flux() : Flux.empty();
  }

  /** Starts the attempt, unless the entry daemon has reset the stream. */
  void start(AttemptHandler handler) {
    if (!ended) {
      cancelAttempt = handler.startAttempt(head, requestBody, this);
    }
  }

  @Override
  public void receive(Frame f) {
    switch (f.type()) {
      case CREDIT -> {
        BodySender s = bodies.senderFor(f);
        f.payload().release();
        s.addCredit(f.number());
      }
      case DATA -> bodies.receiverFor(f).receive(f.payload());
      case END -> {
        BodyReceiver r = bodies.receiverFor(f);
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
      bodies.failReceived();
      bodies.cancelSending();
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
        bodies.createSender(BodyReceiver.WINDOW_BYTES, this::bodyEnded, t -> bodyFailed());
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
