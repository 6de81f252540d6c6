package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptFailure;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/** The entry's side of a stream. */
final class CallingStream implements LinkStream {
  private final Link link;
  private final long id;
  private final WireCodec codec;
  private final Flux<ByteBuf> body;
  private final AnswerSink sink;
  private final BodySender sender;
  private final BodyReceiver receiver;
  private boolean sending;
  private boolean answered;
  private boolean over;

  CallingStream(Link link, long id, WireCodec codec, Flux<ByteBuf> body, AnswerSink sink) {
    this.link = link;
    this.id = id;
    this.codec = codec;
    this.body = body;
    this.sink = sink;
    this.sender =
        new BodySender(
            0,
            b -> link.send(new Frame(FrameType.DATA, id, 0, b)),
            n -> link.send(Frame.of(FrameType.END, id, n)),
            this::bodyFailed);
    this.receiver = new BodyReceiver(false, n -> link.send(Frame.of(FrameType.CREDIT, id, n)));
  }

  void open(AttemptHead head) {
    link.send(Frame.of(FrameType.CALL, id, codec.encode(head)));
  }

  /** Abandons the call: the other side is told, and nothing more is handed on. */
  void abandon() {
    if (over) {
      return;
    }
    close();
    link.send(Frame.of(FrameType.RESET, id, 0));
    receiver.fail();
  }

  @Override
  public void receive(Frame f) {
    switch (f.type()) {
      case CREDIT -> credit(f);
      case ANSWER -> answer(codec.decode(ResponseHead.class, f.takeBytes()));
      case WHOLE_ANSWER -> answerWhole(f);
      case REFUSAL -> refuse(codec.decode(AttemptFailure.class, f.takeBytes()));
      case DATA -> receiver.data(f.payload());
      case END -> {
        f.payload().release();
        end(f.number());
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
    if (over) {
      return;
    }
    close();
    if (answered) {
      receiver.fail();
    } else {
      sink.refused(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
    }
  }

  private void credit(Frame f) {
    f.payload().release();
    sender.grant(f.number());
    if (!sending) {
      sending = true;
      body.subscribe(sender);
    }
  }

  private void answer(ResponseHead head) {
    if (!answered) {
      answered = true;
      sink.answered(head, receiver.flux().doOnCancel(this::abandon));
    }
  }

  private void answerWhole(Frame f) {
    if (answered || over) {
      f.payload().release();
      return;
    }
    answered = true;
    close();
    byte[] head = new byte[(int) Math.min(f.number(), f.payload().readableBytes())];
    f.payload().readBytes(head);
    sink.answeredWhole(codec.decode(ResponseHead.class, head), f.payload());
  }

  private void refuse(AttemptFailure r) {
    if (answered || over) {
      return;
    }
    close();
    Optional<TargetLoad> load = r.load();
    sink.refused(r.verdict(), load);
  }

  private void end(long length) {
    close();
    receiver.end(length);
  }

  private void bodyFailed() {
    if (!over) {
      close();
      link.send(Frame.of(FrameType.RESET, id, 0));
      if (answered) {
        receiver.fail();
      } else {
        sink.refused(new Verdict.MayHaveRun(ErrorCode.CANCELLED), Optional.empty());
      }
    }
  }

  private void close() {
    over = true;
    link.remove(id);
    sender.cancel();
  }
}
