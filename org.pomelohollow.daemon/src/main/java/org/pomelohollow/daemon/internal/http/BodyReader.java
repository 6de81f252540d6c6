package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * Reads the body of one request: whole if it is short and complete, else as a stream that the
 * request can start before.
 */
final class BodyReader {
  /** Greatest body that is read before the request starts, in bytes. */
  static final int WHOLE_BYTES = 16 * 1024;

  /** Unread bytes from which on the connection is not read. */
  private static final long STALL_BYTES = 256 * 1024;

  private final HttpRequest head;
  private final long length;
  private final long maxBytes;
  private final Runnable resume;
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private final Sinks.Many<ByteBuf> rest = Sinks.many().unicast().onBackpressureBuffer();
  private boolean streaming;
  private boolean complete;
  private long seen;
  private long unread;

  BodyReader(HttpRequest head, long maxBytes, Runnable resume) {
    this.head = head;
    this.length = HttpUtil.getContentLength(head, -1L);
    this.maxBytes = maxBytes;
    this.resume = resume;
  }

  HttpRequest head() {
    return head;
  }

  /**
   * Takes a piece, which is handed over.
   *
   * @return whether the request can start now
   */
  boolean add(ByteBuf b, boolean last) {
    seen += b.readableBytes();
    complete = last;
    if (streaming) {
      stream(b);
      return false;
    }
    if (seen > WHOLE_BYTES) {
      streaming = true;
      stream(b);
      return true;
    }
    byte[] bytes = new byte[b.readableBytes()];
    b.readBytes(bytes);
    b.release();
    whole.writeBytes(bytes);
    return last;
  }

  /** Returns the body of a request that starts. */
  RequestBody take() {
    if (!streaming) {
      return RequestBody.buffered(whole.toByteArray());
    }
    Flux<ByteBuf> first = Flux.just(Unpooled.wrappedBuffer(whole.toByteArray()));
    Flux<ByteBuf> all = first.concatWith(rest.asFlux().doOnNext(b -> read(b.readableBytes())));
    return RequestBody.streamed(all, length);
  }

  boolean isStalled() {
    return streaming && unread > STALL_BYTES;
  }

  void fail() {
    rest.tryEmitError(
        new PomelohollowException(ErrorCode.CONNECTION_LOST, "the caller left before the body"));
  }

  private void stream(ByteBuf b) {
    if (seen > maxBytes) {
      b.release();
      rest.tryEmitError(
          new PomelohollowException(
              ErrorCode.REQUEST_TOO_LARGE, "more than " + maxBytes + " bytes"));
      return;
    }
    unread += b.readableBytes();
    if (rest.tryEmitNext(b).isFailure()) {
      b.release();
    }
    if (complete) {
      rest.tryEmitComplete();
    }
  }

  private void read(int n) {
    boolean stalled = isStalled();
    unread -= n;
    if (stalled && !isStalled()) {
      resume.run();
    }
  }
}
