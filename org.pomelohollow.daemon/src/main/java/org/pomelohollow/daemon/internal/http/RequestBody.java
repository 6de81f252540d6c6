package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import reactor.core.publisher.Flux;

/** Body of a request: short and whole, or a stream that can be taken once. */
final class RequestBody {
  private final byte[] whole;
  private final Optional<Flux<ByteBuf>> streamed;
  private final long length;
  private boolean spent;

  private RequestBody(byte[] whole, Optional<Flux<ByteBuf>> streamed, long length) {
    this.whole = whole;
    this.streamed = streamed;
    this.length = length;
  }

  static RequestBody whole(byte[] content) {
    return new RequestBody(content, Optional.empty(), content.length);
  }

  /** Creates a body from a stream whose buffers are handed over; length -1 if unknown. */
  static RequestBody streamed(Flux<ByteBuf> content, long length) {
    return new RequestBody(new byte[0], Optional.of(content), length);
  }

  byte[] whole() {
    return whole;
  }

  Optional<Flux<ByteBuf>> streamed() {
    return streamed.map(f -> f.doOnSubscribe(s -> spent = true));
  }

  long length() {
    return length;
  }

  /** Returns whether the stream has been taken. */
  boolean isSpent() {
    return spent;
  }
}
