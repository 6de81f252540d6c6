package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.wire.AttemptHead;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * One request to the target and its response. A short response is passed on only when it is
 * complete, so that a truncated one never reaches the caller; a long one is streamed.
 */
final class TargetExchange {
  /** Largest response body that is buffered before it is passed on, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 256 * 1024;

  /** Bytes of a streamed response that nobody has read yet, above which reading pauses. */
  private static final long MAX_UNREAD_BYTES = 256 * 1024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final AttemptHead head;
  private final RequestContext context;
  private final Flux<ByteBuf> body;
  private final TargetProtocol protocol;
  private final TargetExchangeListener listener;
  private final Queue<ByteBuf> unread = new ArrayDeque<>();
  private final ByteBuf buffered = Unpooled.buffer();
  private Optional<HttpHeaders> requestHeaders = Optional.empty();
  private Optional<HttpResponse> responseHead = Optional.empty();
  private Optional<Sinks.Many<ByteBuf>> streamedResponse = Optional.empty();
  private TargetIncarnation target = new TargetIncarnation("", 0);
  private long sentNanos;
  private long unreadBytes;
  private boolean ended;

  TargetExchange(
      AttemptHead head,
      RequestContext context,
      Flux<ByteBuf> body,
      TargetProtocol protocol,
      TargetExchangeListener listener) {
    this.head = head;
    this.context = context;
    this.body = body;
    this.protocol = protocol;
    this.listener = listener;
  }

  /** Creates the request to send; a streamed body is sent after it. */
  HttpRequest createRequest(TargetAnnouncement announcement, long nowNanos) {
    target = announcement.incarnation();
    sentNanos = nowNanos;
    HttpRequest r = newRequest();
    HttpHeaders h = r.headers();
    head.headers().forEach(f -> h.add(f.name(), f.value()));
    long remainingMillis = Math.max(1, context.remainingNanos(nowNanos) / NANOS_PER_MILLI);
    protocol.completeRequest(h, context, remainingMillis, announcement);
    if (head.streamedLength().isEmpty()) {
      if (head.body().length() > 0 || h.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        h.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(head.body().length()));
      }
    } else if (head.streamedLength().get() < 0) {
      HttpUtil.setTransferEncodingChunked(r, true);
    }
    requestHeaders = Optional.of(h);
    return r;
  }

  /** Returns the body to send after the request, empty if the request includes its body. */
  Optional<Flux<ByteBuf>> streamedBody() {
    return head.streamedLength().map(n -> body);
  }

  String requestId() {
    return context.requestId();
  }

  boolean isEnded() {
    return ended;
  }

  /** Cancels the exchange: the listener is not invoked any more. */
  void cancel() {
    ended = true;
    streamedResponse.ifPresent(s -> s.tryEmitError(truncated()));
  }

  /**
   * Interprets the head of a response and stores it if it belongs to this request.
   *
   * @return meaning of the head
   */
  TargetProtocol.ResponseKind interpretHead(HttpResponse r) {
    TargetProtocol.ResponseKind m = protocol.classify(r, requestHeaders.orElseThrow());
    if (m instanceof TargetProtocol.ResponseKind.Valid) {
      responseHead = Optional.of(r);
      reportNotice(r.headers());
    } else if (m instanceof TargetProtocol.ResponseKind.NotRun) {
      reportNotice(r.headers());
    }
    return m;
  }

  /**
   * Adds a part of the response body; the caller keeps the buffer.
   *
   * @param b the part
   * @param setReading pauses (false) and resumes (true) reading from the target, so that a response
   *     that the caller reads slowly or that does not end takes a bounded amount of memory
   */
  void appendBody(ByteBuf b, Consumer<Boolean> setReading) {
    if (ended || !b.isReadable()) {
      return;
    }
    if (streamedResponse.isPresent()) {
      unreadBytes += b.readableBytes();
      if (unreadBytes > MAX_UNREAD_BYTES) {
        setReading.accept(false);
      }
      if (streamedResponse.get().tryEmitNext(b.retain()).isFailure()) {
        b.release(); // Its reader has cancelled.
      }
      return;
    }
    buffered.writeBytes(b);
    if (buffered.readableBytes() > MAX_BUFFERED_BYTES) {
      Sinks.Many<ByteBuf> s = Sinks.many().unicast().onBackpressureBuffer(unread);
      unreadBytes = buffered.readableBytes();
      s.tryEmitNext(buffered).orThrow();
      streamedResponse = Optional.of(s);
      HttpResponse r = responseHead.orElseThrow();
      listener.responseStarted(
          r.status().code(),
          new TargetExchangeListener.StreamedResponse(
              protocol.fieldsForCaller(r.headers()),
              s.asFlux()
                  .doOnNext(part -> countRead(part.readableBytes(), setReading))
                  .doOnCancel(this::discardUnread)));
    }
  }

  private void discardUnread() {
    for (ByteBuf b = unread.poll(); b != null; b = unread.poll()) {
      b.release();
    }
  }

  private void countRead(int bytes, Consumer<Boolean> setReading) {
    boolean wasOverLimit = unreadBytes > MAX_UNREAD_BYTES;
    unreadBytes -= bytes;
    if (wasOverLimit && unreadBytes <= MAX_UNREAD_BYTES) {
      setReading.accept(true);
    }
  }

  /** Completes the response: its body has been received entirely. */
  void complete() {
    if (ended) {
      return;
    }
    ended = true;
    if (streamedResponse.isPresent()) {
      streamedResponse.get().tryEmitComplete();
    } else {
      passFullResponse();
    }
  }

  /** Ends the exchange because the target shed the request. */
  void shed(long retryAfterMillis) {
    if (!ended) {
      ended = true;
      listener.shed(retryAfterMillis);
    }
  }

  /** Ends the exchange with a failure; a response that is being streamed is truncated. */
  void fail(boolean reached, ErrorCode code, String why) {
    if (ended) {
      return;
    }
    ended = true;
    Logger.info(
        "target: {} has no response: {} ({}, reached {})", context.requestId(), why, code, reached);
    if (streamedResponse.isPresent()) {
      streamedResponse.get().tryEmitError(truncated());
    } else {
      listener.failed(reached, code);
    }
  }

  private void reportNotice(HttpHeaders h) {
    if (!ended) {
      listener.headReceived(
          new TargetNotice(target, protocol.requestsPerSecond(h), protocol.isLeaving(h)),
          protocol.reportedLoad(h),
          sentNanos);
    }
  }

  private HttpRequest newRequest() {
    HttpMethod m = HttpMethod.valueOf(head.method());
    if (head.streamedLength().isPresent()) {
      return new DefaultHttpRequest(HttpVersion.HTTP_1_1, m, head.uri());
    }
    ByteBuf b = Unpooled.wrappedBuffer(head.body().array());
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, m, head.uri(), b);
  }

  private void passFullResponse() {
    HttpResponse r = responseHead.orElseThrow();
    List<HeaderField> fields = new ArrayList<>(protocol.fieldsForCaller(r.headers()));
    if (!head.method().equals(HttpMethod.HEAD.name())) {
      setLength(fields, buffered.readableBytes());
    }
    listener.fullResponseReceived(r.status().code(), fields, buffered);
  }

  private static void setLength(List<HeaderField> fields, int n) {
    fields.removeIf(f -> HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(f.name()));
    fields.add(new HeaderField(HttpHeaderNames.CONTENT_LENGTH.toString(), Integer.toString(n)));
  }

  private static PomelohollowException truncated() {
    return new PomelohollowException(ErrorCode.CONNECTION_LOST, "the response was truncated");
  }
}
