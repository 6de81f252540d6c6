package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongConsumer;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Receives a body from a link and grants the sender new credit as the body is consumed. */
final class BodyReceiver {
  /** Flow-control window: bytes that the sender may have sent beyond what was consumed. */
  static final long WINDOW_BYTES = 256 * 1024;

  /** Bytes by which the last buffer may exceed the credit: a sender stops only after a buffer. */
  private static final long MAX_OVERSHOOT_BYTES = FrameDecoder.MAX_FRAME_BYTES;

  private final Queue<ByteBuf> queue = new ArrayDeque<>();
  private final Sinks.Many<ByteBuf> sink = Sinks.many().unicast().onBackpressureBuffer(queue);
  private final LongConsumer creditSender;
  private final boolean grantsInitialCredit;
  private long outstandingCredit;
  private long received;
  private long consumed;
  private boolean ended;

  /**
   * Creates a receiver.
   *
   * @param grantsInitialCredit whether the sender starts without credit and gets a window when the
   *     body is subscribed to; otherwise it starts with the credit of a window
   * @param creditSender sends a grant of credit, in bytes, to the sender of the body
   */
  BodyReceiver(boolean grantsInitialCredit, LongConsumer creditSender) {
    this.grantsInitialCredit = grantsInitialCredit;
    this.creditSender = creditSender;
    this.outstandingCredit = grantsInitialCredit ? 0 : WINDOW_BYTES;
  }

  /** Returns the body, to be subscribed to once; the subscriber owns each buffer. */
  Flux<ByteBuf> flux() {
    return sink.asFlux()
        .doOnSubscribe(s -> grantInitialCredit())
        .doOnNext(b -> returnCredit(b.readableBytes()))
        .doOnCancel(this::discardQueue);
  }

  /** Adds a part of the body and takes ownership of the buffer. */
  void receive(ByteBuf b) {
    int n = b.readableBytes();
    outstandingCredit -= n;
    received += n;
    if (ended) {
      b.release();
    } else if (outstandingCredit < -MAX_OVERSHOOT_BYTES) {
      b.release();
      throw new PomelohollowException(
          ErrorCode.WIRE_MALFORMED,
          "peer exceeded its credit, which is now " + outstandingCredit + " bytes");
    } else {
      sink.emitNext(b, Sinks.EmitFailureHandler.FAIL_FAST);
    }
  }

  /** Ends the body; it fails if its length is not the number of bytes received. */
  void end(long length) {
    if (ended) {
      return;
    }
    ended = true;
    if (length == received) {
      sink.tryEmitComplete();
    } else {
      sink.tryEmitError(truncated());
    }
  }

  /** Fails the body as truncated, unless it has ended. */
  void fail() {
    if (!ended) {
      ended = true;
      sink.tryEmitError(truncated());
    }
  }

  private void grantInitialCredit() {
    if (grantsInitialCredit) {
      outstandingCredit += WINDOW_BYTES;
      creditSender.accept(WINDOW_BYTES);
    }
  }

  private void returnCredit(int n) {
    consumed += n;
    if (consumed >= WINDOW_BYTES / 2 && !ended) {
      outstandingCredit += consumed;
      creditSender.accept(consumed);
      consumed = 0;
    }
  }

  private void discardQueue() {
    ended = true;
    ByteBuf b = queue.poll();
    while (b != null) {
      b.release();
      b = queue.poll();
    }
  }

  private static PomelohollowException truncated() {
    return new PomelohollowException(ErrorCode.CONNECTION_LOST, "the body was truncated");
  }
}
