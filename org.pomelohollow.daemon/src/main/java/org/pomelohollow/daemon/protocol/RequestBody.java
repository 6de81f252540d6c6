package org.pomelohollow.daemon.protocol;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;

/** Body of a request: either buffered in memory or a stream that can be consumed once. */
public final class RequestBody {
  private final byte[] buffered;
  private final Optional<Flux<ByteBuf>> streamed;
  private final long lengthBytes;
  private boolean streamConsumed;

  private RequestBody(byte[] buffered, Optional<Flux<ByteBuf>> streamed, long lengthBytes) {
    this.buffered = buffered;
    this.streamed = streamed;
    this.lengthBytes = lengthBytes;
  }

  /**
   * Creates a buffered body, for short contents.
   *
   * @param content all bytes of the body
   * @return the body
   */
  public static RequestBody buffered(byte[] content) {
    return new RequestBody(content, Optional.empty(), content.length);
  }

  /**
   * Creates a streamed body, for long contents.
   *
   * @param content buffers of the body; whoever subscribes takes ownership of them
   * @param lengthBytes length of the body in bytes, -1 if unknown
   * @return the body
   */
  public static RequestBody streamed(Flux<ByteBuf> content, long lengthBytes) {
    return new RequestBody(new byte[0], Optional.of(content), lengthBytes);
  }

  /**
   * Returns why a streamed body ended early.
   *
   * @param t error of the stream
   * @return {@link ErrorCode#CANCELLED} unless this daemon itself stopped reading the body
   */
  public static ErrorCode failureCode(Throwable t) {
    return t instanceof PomelohollowException e && e.code() != ErrorCode.CONNECTION_LOST
        ? e.code()
        : ErrorCode.CANCELLED;
  }

  /** Returns the bytes of a buffered body, an empty array if the body is streamed. */
  public byte[] buffered() {
    return buffered;
  }

  /** Returns the stream of a streamed body, empty if the body is buffered. */
  public Optional<Flux<ByteBuf>> streamed() {
    return streamed.map(f -> f.doOnSubscribe(s -> streamConsumed = true));
  }

  /** Returns the length in bytes, -1 if unknown. */
  public long lengthBytes() {
    return lengthBytes;
  }

  /** Returns whether the stream has been subscribed to. */
  public boolean isStreamConsumed() {
    return streamConsumed;
  }
}
