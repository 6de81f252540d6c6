package org.pomelohollow.standin.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;

/** Bodies of any length with predictable content. */
public final class Payload {
  private static final int PERIOD = 251;

  private Payload() {}

  /**
   * Makes a body.
   *
   * @param length length, in bytes
   * @param chunk length of each chunk but the last, in bytes
   * @return the chunks, made on demand
   */
  public static Flux<ByteBuf> of(long length, int chunk) {
    return Flux.generate(
        () -> 0L,
        (at, sink) -> {
          if (at >= length) {
            sink.complete();
            return at;
          }
          int n = (int) Math.min(chunk, length - at);
          sink.next(Unpooled.wrappedBuffer(bytes(at, n)));
          return at + n;
        });
  }

  /**
   * Returns the byte at a position of every body.
   *
   * @param position position from 0
   * @return the byte
   */
  public static byte at(long position) {
    return (byte) (position % PERIOD);
  }

  private static byte[] bytes(long from, int n) {
    byte[] b = new byte[n];
    for (int i = 0; i < n; i++) {
      b[i] = at(from + i);
    }
    return b;
  }
}
