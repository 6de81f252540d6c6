package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Reads the body of one request. A short body is buffered until it is complete; a longer one
 * becomes a stream, so that the request starts before its body has been received: with its head if
 * that names the length, so that a refusal costs no body.
 */
final class BodyReader {
  /** Largest body that is read completely before the request starts, in bytes. */
  static final int MAX_BUFFERED_BYTES = 16 * 1024;

  /** Received bytes that nobody has read yet, above which reading from the connection pauses. */
  private static final long MAX_UNREAD_BYTES = 256 * 1024;

  private final HttpRequest head;
  private final long length;
  private final long maxBytes;
  private final Runnable resumeReading;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

  /** Part of the body after the buffered one; present once the body is streamed. */
  private Optional<Sinks.Many<ByteBuf>> rest = Optional.empty();

  private boolean complete;
  private long receivedBytes;
  private long unreadBytes;

  BodyReader(HttpRequest head, long maxBytes, Runnable resumeReading) {
    this.head = head;
    this.length = HttpUtil.getContentLength(head, -1L);
    this.maxBytes = maxBytes;
    this.resumeReading = resumeReading;
  }

  HttpRequest head() {
    return head;
  }

  /**
   * Adds a part of the body.
   *
   * @param b the part; this object releases it or passes it on
   * @param last whether the body ends with it
   * @return whether the request can start now
   */
  boolean add(ByteBuf b, boolean last) {
    receivedBytes += b.readableBytes();
    complete = last;
    if (rest.isPresent()) {
      emit(rest.get(), b);
      return false;
    }
    if (receivedBytes > MAX_BUFFERED_BYTES) {
      rest = Optional.of(Sinks.many().unicast().onBackpressureBuffer());
      emit(rest.get(), b);
      return true;
    }
    byte[] bytes = new byte[b.readableBytes()];
    b.readBytes(bytes);
    b.release();
    buffered.writeBytes(bytes);
    return last;
  }

  /**
   * Makes a body of which nothing has been received a stream if its length is known to be greater
   * than that of a buffered one.
   *
   * @return whether the request can start now
   */
  boolean streamIfLong() {
    if (length > MAX_BUFFERED_BYTES) {
      rest = Optional.of(Sinks.many().unicast().onBackpressureBuffer());
    }
    return rest.isPresent();
  }

  /** Returns whether the request has started before its body was complete. */
  boolean isStreamed() {
    return rest.isPresent();
  }

  /** Returns the body for the request that starts now. */
  RequestBody createBody() {
    if (rest.isEmpty()) {
      return RequestBody.buffered(buffered.toByteArray());
    }
    Flux<ByteBuf> later = rest.get().asFlux().doOnNext(b -> countRead(b.readableBytes()));
    if (buffered.size() == 0) {
      return RequestBody.streamed(later, length);
    }
    Flux<ByteBuf> first = Flux.just(Unpooled.wrappedBuffer(buffered.toByteArray()));
    return RequestBody.streamed(first.concatWith(later), length);
  }

  /** Returns whether reading from the connection is to pause until the body has been read. */
  boolean isOverUnreadLimit() {
    return rest.isPresent() && unreadBytes > MAX_UNREAD_BYTES;
  }

  /**
   * Fails the stream because no more of the body is read.
   *
   * @param code reason of that
   */
  void fail(ErrorCode code) {
    rest.ifPresent(
        s ->
            s.tryEmitError(
                new PomelohollowException(
                    code, "the connection was closed before the end of the body")));
  }

  private void emit(Sinks.Many<ByteBuf> sink, ByteBuf b) {
    if (receivedBytes > maxBytes) {
      b.release();
      sink.tryEmitError(
          new PomelohollowException(
              ErrorCode.REQUEST_TOO_LARGE, "request body is larger than " + maxBytes + " bytes"));
      return;
    }
    unreadBytes += b.readableBytes();
    if (sink.tryEmitNext(b).isFailure()) {
      b.release();
    }
    if (complete) {
      sink.tryEmitComplete();
    }
  }

  private void countRead(int n) {
    boolean wasOverLimit = isOverUnreadLimit();
    unreadBytes -= n;
    if (wasOverLimit && !isOverUnreadLimit()) {
      resumeReading.run();
    }
  }
}
