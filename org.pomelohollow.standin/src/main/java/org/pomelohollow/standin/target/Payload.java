package org.pomelohollow.standin.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;

/** Generates bodies of any length with predictable content. */
public final class Payload {
  /** Length after which the content repeats; a prime, so it divides no chunk length. */
  private static final int PERIOD_BYTES = 251;

  private Payload() {}

  /**
   * Generates a body.
   *
   * @param length length of the body, in bytes
   * @param chunkBytes length of each chunk except the last, in bytes
   * @return the chunks, generated on demand
   */
  public static Flux<ByteBuf> of(long length, int chunkBytes) {
    return Flux.generate(
        () -> 0L,
        (at, sink) -> {
          if (at >= length) {
            sink.complete();
            return at;
          }
          int n = (int) Math.min(chunkBytes, length - at);
          sink.next(Unpooled.wrappedBuffer(bytes(at, n)));
          return at + n;
        });
  }

  /**
   * Returns the byte at a position, which is the same in every body.
   *
   * @param position position, counted from 0
   * @return the byte
   */
  public static byte byteAt(long position) {
    return (byte) (position % PERIOD_BYTES);
  }

  private static byte[] bytes(long from, int n) {
    byte[] b = new byte[n];
    for (int i = 0; i < n; i++) {
      b[i] = byteAt(from + i);
    }
    return b;
  }
}
