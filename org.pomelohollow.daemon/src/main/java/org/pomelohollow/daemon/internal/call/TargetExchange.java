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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.CallHead;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * One request at the target and its answer. A short answer is told when it is whole, so that one
 * that breaks off never reaches the caller; a long one is handed on piece by piece.
 */
final class TargetExchange {
  /** Greatest answer that is collected, in bytes. */
  private static final int WHOLE_BYTES = 256 * 1024;

  private static final long MILLION = 1_000_000;

  private final CallHead head;
  private final RequestContext context;
  private final Flux<ByteBuf> body;
  private final TargetProtocol protocol;
  private final TargetListener listener;
  private final ByteBuf whole = Unpooled.buffer();
  private Optional<HttpHeaders> sent = Optional.empty();
  private Optional<HttpResponse> answer = Optional.empty();
  private Optional<Sinks.Many<ByteBuf>> stream = Optional.empty();
  private boolean over;

  TargetExchange(
      CallHead head,
      RequestContext context,
      Flux<ByteBuf> body,
      TargetProtocol protocol,
      TargetListener listener) {
    this.head = head;
    this.context = context;
    this.body = body;
    this.protocol = protocol;
    this.listener = listener;
  }

  /** Returns the request to send; its body follows if it is streamed. */
  HttpRequest request(TargetAnnouncement target, long nowNanos) {
    HttpRequest r = newRequest();
    HttpHeaders h = r.headers();
    head.headers().forEach(f -> h.add(f.name(), f.value()));
    long left = Math.max(1, context.remainingNanos(nowNanos) / MILLION);
    protocol.completeRequest(h, context, left, target);
    if (head.streamedLength().isEmpty()) {
      if (head.body().length() > 0 || h.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        h.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(head.body().length()));
      }
    } else if (head.streamedLength().get() < 0) {
      HttpUtil.setTransferEncodingChunked(r, true);
    }
    sent = Optional.of(h);
    return r;
  }

  /** Returns the body that follows the request. */
  Optional<Flux<ByteBuf>> streamedBody() {
    return head.streamedLength().map(n -> body);
  }

  boolean isOver() {
    return over;
  }

  /** Nothing more is told. */
  void abandon() {
    over = true;
    stream.ifPresent(s -> s.tryEmitError(cutShort()));
  }

  /**
   * Takes the head of an answer.
   *
   * @return what it means
   */
  TargetProtocol.ResponseKind begin(HttpResponse r) {
    TargetProtocol.ResponseKind m = protocol.classify(r, sent.orElseThrow());
    if (m instanceof TargetProtocol.ResponseKind.Valid) {
      answer = Optional.of(r);
    }
    return m;
  }

  /** Takes a piece of the body, which stays the caller's. */
  void add(ByteBuf b) {
    if (over || !b.isReadable()) {
      return;
    }
    if (stream.isPresent()) {
      stream.get().tryEmitNext(b.retain()).orThrow();
      return;
    }
    whole.writeBytes(b);
    if (whole.readableBytes() > WHOLE_BYTES) {
      Sinks.Many<ByteBuf> s = Sinks.many().unicast().onBackpressureBuffer();
      s.tryEmitNext(whole).orThrow();
      stream = Optional.of(s);
      HttpResponse r = answer.orElseThrow();
      listener.answered(
          r.status().code(),
          new TargetListener.Answer(protocol.fieldsForCaller(r.headers()), s.asFlux()));
    }
  }

  /** The answer is whole. */
  void complete() {
    if (over) {
      return;
    }
    over = true;
    if (stream.isPresent()) {
      stream.get().tryEmitComplete();
    } else {
      tellWhole();
    }
  }

  void shed(long retryAfterMillis) {
    if (!over) {
      over = true;
      listener.shed(retryAfterMillis);
    }
  }

  void fail(boolean reached, ErrorCode code, String why) {
    if (over) {
      return;
    }
    over = true;
    Logger.info(
        "target: {} has no answer: {} ({}, reached {})", context.requestId(), why, code, reached);
    if (stream.isPresent()) {
      stream.get().tryEmitError(cutShort());
    } else {
      listener.failed(reached, code);
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

  private void tellWhole() {
    HttpResponse r = answer.orElseThrow();
    List<HeaderField> fields = new ArrayList<>(protocol.fieldsForCaller(r.headers()));
    if (!head.method().equals(HttpMethod.HEAD.name())) {
      setLength(fields, whole.readableBytes());
    }
    listener.answeredWhole(r.status().code(), fields, whole);
  }

  private static void setLength(List<HeaderField> fields, int n) {
    fields.removeIf(f -> HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(f.name()));
    fields.add(new HeaderField(HttpHeaderNames.CONTENT_LENGTH.toString(), Integer.toString(n)));
  }

  private static PomelohollowException cutShort() {
    return new PomelohollowException(ErrorCode.CONNECTION_LOST, "the answer was cut short");
  }
}
