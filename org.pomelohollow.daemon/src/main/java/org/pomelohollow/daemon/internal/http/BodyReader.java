package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import org.pomelohollow.daemon.internal.io.BodyPipe;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;

/**
 * Reads the body of one request. A short body is buffered until it is complete; a longer one
 * becomes a stream, so that the request starts before its body has been received: with its head if
 * that names the length, so that a refusal costs no body.
 */
final class BodyReader {
  /** Largest body that is read completely before the request starts, in bytes. */
  static final int MAX_BUFFERED_BYTES = 16 * 1024;

  private final HttpRequest head;
  private final long length;
  private final long maxBytes;
  private final BodyPipe rest;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

  private boolean streamed;
  private boolean complete;
  private long receivedBytes;

  /**
   * Creates a reader.
   *
   * @param head head of the request
   * @param maxBytes largest allowed body, in bytes
   * @param rest receives the part of the body after the buffered one
   */
  BodyReader(HttpRequest head, long maxBytes, BodyPipe rest) {
    this.head = head;
    this.length = HttpUtil.getContentLength(head, -1L);
    this.maxBytes = maxBytes;
    this.rest = rest;
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
    if (streamed) {
      emit(b);
      return false;
    }
    if (receivedBytes > MAX_BUFFERED_BYTES) {
      streamed = true;
      emit(b);
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
    streamed = length > MAX_BUFFERED_BYTES;
    return streamed;
  }

  /** Returns whether the request has started before its body was complete. */
  boolean isStreamed() {
    return streamed;
  }

  /** Returns the body for the request that starts now. */
  RequestBody createBody() {
    if (!streamed) {
      return RequestBody.buffered(buffered.toByteArray());
    }
    if (buffered.size() == 0) {
      return RequestBody.streamed(rest.flux(), length);
    }
    Flux<ByteBuf> first = Flux.just(Unpooled.wrappedBuffer(buffered.toByteArray()));
    return RequestBody.streamed(first.concatWith(rest.flux()), length);
  }

  /** Returns whether reading from the connection is to pause until the body has been read. */
  boolean isOverUnreadLimit() {
    return rest.isFull();
  }

  /**
   * Fails the stream because no more of the body is read.
   *
   * @param code reason of that
   */
  void fail(ErrorCode code) {
    rest.fail(
        new PomelohollowException(code, "the connection was closed before the end of the body"));
  }

  /** Discards the streamed part, also what is still to come of it, unless somebody reads it. */
  void discardUnlessRead() {
    rest.discardUnlessRead();
  }

  private void emit(ByteBuf b) {
    if (receivedBytes > maxBytes) {
      b.release();
      rest.fail(
          new PomelohollowException(
              ErrorCode.REQUEST_TOO_LARGE, "request body is larger than " + maxBytes + " bytes"));
      return;
    }
    rest.add(b);
    if (complete) {
      rest.complete();
    }
  }
}
