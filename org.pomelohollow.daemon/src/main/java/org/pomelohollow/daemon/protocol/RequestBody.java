package org.pomelohollow.daemon.protocol;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import reactor.core.publisher.Flux;

/** Body of a request: short and whole, or a stream that can be taken once. */
public final class RequestBody {
  private final byte[] whole;
  private final Optional<Flux<ByteBuf>> streamed;
  private final long length;
  private boolean spent;

  private RequestBody(byte[] whole, Optional<Flux<ByteBuf>> streamed, long length) {
    this.whole = whole;
    this.streamed = streamed;
    this.length = length;
  }

  /**
   * Creates a short body.
   *
   * @param content the whole of it
   * @return the body
   */
  public static RequestBody whole(byte[] content) {
    return new RequestBody(content, Optional.empty(), content.length);
  }

  /**
   * Creates a long body.
   *
   * @param content its buffers, which are handed over
   * @param length its length in bytes, -1 if unknown
   * @return the body
   */
  public static RequestBody streamed(Flux<ByteBuf> content, long length) {
    return new RequestBody(new byte[0], Optional.of(content), length);
  }

  /** Returns a short body, empty if it is a stream. */
  public byte[] whole() {
    return whole;
  }

  /** Returns a long body. */
  public Optional<Flux<ByteBuf>> streamed() {
    return streamed.map(f -> f.doOnSubscribe(s -> spent = true));
  }

  /** Returns the length in bytes, -1 if unknown. */
  public long length() {
    return length;
  }

  /** Returns whether the stream has been taken. */
  public boolean isSpent() {
    return spent;
  }
}
