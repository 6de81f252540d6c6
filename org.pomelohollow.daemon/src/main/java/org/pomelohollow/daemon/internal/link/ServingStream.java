package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.daemon.internal.call.CallHandler;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptFailure;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/** The side of a stream at the target's daemon. */
final class ServingStream implements LinkStream, AnswerSink {
  private final Link link;
  private final long id;
  private final WireCodec codec;
  private final BodySender sender;
  private final BodyReceiver receiver;
  private Runnable abandon = () -> {};
  private boolean over;

  ServingStream(Link link, long id, WireCodec codec) {
    this.link = link;
    this.id = id;
    this.codec = codec;
    this.sender =
        new BodySender(
            BodyReceiver.WINDOW_BYTES,
            b -> link.send(new Frame(FrameType.DATA, id, 0, b)),
            this::bodyEnded,
            this::bodyFailed);
    this.receiver = new BodyReceiver(true, n -> link.send(Frame.of(FrameType.CREDIT, id, n)));
  }

  void start(AttemptHead head, CallHandler handler) {
    abandon = handler.call(head, receiver.flux(), this);
  }

  @Override
  public void receive(Frame f) {
    switch (f.type()) {
      case CREDIT -> {
        f.payload().release();
        sender.grant(f.number());
      }
      case DATA -> receiver.data(f.payload());
      case END -> {
        f.payload().release();
        receiver.end(f.number());
      }
      case RESET -> {
        f.payload().release();
        linkLost();
      }
      default -> link.violation(f);
    }
  }

  @Override
  public void linkLost() {
    if (!over) {
      close();
      receiver.fail();
      sender.cancel();
      abandon.run();
    }
  }

  @Override
  public void answered(ResponseHead head, Flux<ByteBuf> body) {
    if (over) {
      body.subscribe(ByteBuf::release).dispose();
      return;
    }
    link.send(Frame.of(FrameType.ANSWER, id, codec.encode(head)));
    body.subscribe(sender);
  }

  @Override
  public void answeredWhole(ResponseHead head, ByteBuf body) {
    if (over) {
      body.release();
      return;
    }
    close();
    byte[] h = codec.encode(head);
    ByteBuf all = Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(h), body);
    link.send(new Frame(FrameType.WHOLE_ANSWER, id, h.length, all));
  }

  @Override
  public void refused(Verdict verdict, Optional<TargetLoad> load) {
    if (!over) {
      close();
      link.send(Frame.of(FrameType.REFUSAL, id, codec.encode(AttemptFailure.of(verdict, load))));
    }
  }

  private void bodyEnded(long length) {
    if (!over) {
      close();
      link.send(Frame.of(FrameType.END, id, length));
    }
  }

  private void bodyFailed() {
    if (!over) {
      close();
      link.send(Frame.of(FrameType.RESET, id, 0));
    }
  }

  private void close() {
    over = true;
    link.remove(id);
  }
}
