package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongConsumer;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/** Takes a body from a link and returns credit as it is consumed. */
final class BodyReceiver {
  /** Bytes that may be on their way at once. */
  static final long WINDOW_BYTES = 256 * 1024;

  /** Room for the last buffer, which may exceed the credit. */
  private static final long OVERSHOOT_BYTES = FrameCodec.MAX_FRAME_BYTES;

  private final Queue<ByteBuf> queue = new ArrayDeque<>();
  private final Sinks.Many<ByteBuf> sink = Sinks.many().unicast().onBackpressureBuffer(queue);
  private final LongConsumer grant;
  private final boolean grantsAtStart;
  private long outstanding;
  private long received;
  private long consumed;
  private boolean over;

  /**
   * Creates a receiver.
   *
   * @param grantsAtStart whether the sender waits for credit; otherwise it starts with a window
   * @param grant sends credit to the sender
   */
  BodyReceiver(boolean grantsAtStart, LongConsumer grant) {
    this.grantsAtStart = grantsAtStart;
    this.grant = grant;
    this.outstanding = grantsAtStart ? 0 : WINDOW_BYTES;
  }

  Flux<ByteBuf> flux() {
    return sink.asFlux()
        .doOnSubscribe(s -> start())
        .doOnNext(b -> consume(b.readableBytes()))
        .doOnCancel(this::close);
  }

  /** Takes a buffer, which is handed over. */
  void data(ByteBuf b) {
    int n = b.readableBytes();
    outstanding -= n;
    received += n;
    if (over) {
      b.release();
    } else if (outstanding < -OVERSHOOT_BYTES) {
      b.release();
      throw new PomelohollowException(ErrorCode.WIRE_MALFORMED, "more data than credit");
    } else {
      sink.emitNext(b, Sinks.EmitFailureHandler.FAIL_FAST);
    }
  }

  void end(long length) {
    if (over) {
      return;
    }
    over = true;
    if (length == received) {
      sink.tryEmitComplete();
    } else {
      sink.tryEmitError(cutShort());
    }
  }

  void fail() {
    if (!over) {
      over = true;
      sink.tryEmitError(cutShort());
    }
  }

  private void start() {
    if (grantsAtStart) {
      outstanding += WINDOW_BYTES;
      grant.accept(WINDOW_BYTES);
    }
  }

  private void consume(int n) {
    consumed += n;
    if (consumed >= WINDOW_BYTES / 2 && !over) {
      outstanding += consumed;
      grant.accept(consumed);
      consumed = 0;
    }
  }

  private void close() {
    over = true;
    ByteBuf b = queue.poll();
    while (b != null) {
      b.release();
      b = queue.poll();
    }
  }

  private static PomelohollowException cutShort() {
    return new PomelohollowException(ErrorCode.CONNECTION_LOST, "the body was cut short");
  }
}
