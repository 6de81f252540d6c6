package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptFailure;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/** The entry daemon's side of a stream: sends an attempt and receives its response. */
final class ClientStream implements LinkStream {
  private final Link link;
  private final long id;
  private final WireCodec codec;
  private final Flux<ByteBuf> body;
  private final ResponseListener responseListener;
  private final StreamBodies bodies;
  private boolean idempotent;
  private boolean bodyStarted;
  private boolean responseStarted;
  private boolean ended;

  ClientStream(
      Link link, long id, WireCodec codec, Flux<ByteBuf> body, ResponseListener responseListener) {
    this.link = link;
    this.id = id;
    this.codec = codec;
    this.body = body;
    this.responseListener = responseListener;
    this.bodies = new StreamBodies(link, id);
  }

  void open(AttemptHead head) {
    idempotent = head.idempotent();
    if (head.streamedLength().isPresent()) {
      bodies.createSender(0, n -> link.send(Frame.of(FrameType.END, id, n)), this::bodyFailed);
    }
    link.send(Frame.of(FrameType.ATTEMPT, id, codec.encode(head)));
  }

  /** Cancels the attempt and resets the stream; the listener is not invoked any more. */
  void cancel() {
    if (ended) {
      return;
    }
    close();
    link.send(Frame.of(FrameType.RESET, id, 0));
    bodies.failReceived();
  }

  @Override
  public void receive(Frame f) {
    switch (f.type()) {
      case CREDIT -> receiveCredit(f);
      case RESPONSE_HEAD -> receiveResponseHead(codec.decode(ResponseHead.class, f.takeBytes()));
      case FULL_RESPONSE -> receiveFullResponse(f);
      case FAILURE -> receiveFailure(codec.decode(AttemptFailure.class, f.takeBytes()));
      case DATA -> bodies.receiverFor(f).receive(f.payload());
      case END -> {
        BodyReceiver r = bodies.receiverFor(f);
        f.payload().release();
        close();
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
    if (ended) {
      return;
    }
    close();
    if (responseStarted) {
      bodies.failReceived();
    } else {
      responseListener.failed(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
    }
  }

  @Override
  public void linkSilent() {
    if (idempotent && !responseStarted) {
      link.send(Frame.of(FrameType.RESET, id, 0));
      linkLost();
    }
  }

  private void receiveCredit(Frame f) {
    BodySender s = bodies.senderFor(f);
    f.payload().release();
    s.addCredit(f.number());
    if (!bodyStarted) {
      bodyStarted = true;
      body.subscribe(s);
    }
  }

  private void receiveResponseHead(ResponseHead head) {
    if (!responseStarted) {
      responseStarted = true;
      BodyReceiver r = bodies.createReceiver(false);
      responseListener.responseStarted(head, r.flux().doOnCancel(this::cancel));
    }
  }

  private void receiveFullResponse(Frame f) {
    if (responseStarted || ended) {
      f.payload().release();
      return;
    }
    responseStarted = true;
    close();
    byte[] head = new byte[(int) Math.min(f.number(), f.payload().readableBytes())];
    f.payload().readBytes(head);
    responseListener.fullResponseReceived(codec.decode(ResponseHead.class, head), f.payload());
  }

  private void receiveFailure(AttemptFailure r) {
    if (responseStarted || ended) {
      return;
    }
    close();
    Optional<TargetLoad> load = r.load();
    responseListener.failed(r.verdict(), load);
  }

  private void bodyFailed(Throwable t) {
    if (!ended) {
      close();
      link.send(Frame.of(FrameType.RESET, id, 0));
      if (responseStarted) {
        bodies.failReceived();
      } else {
        responseListener.failed(
            new Verdict.MayHaveRun(RequestBody.failureCode(t)), Optional.empty());
      }
    }
  }

  private void close() {
    ended = true;
    link.removeStream(id);
    bodies.cancelSending();
  }
}
