package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.daemon.protocol.CallerProtocol;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.decision.attempt.AttemptListener;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.ExchangeListener;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** One request of a caller, or one outbound call of the target, at the entry daemon. */
final class CallerExchange implements ExchangeListener {
  /**
   * Largest response body that is buffered before the response head is sent, in bytes: until then
   * the request can be attempted again.
   */
  private static final long MAX_BUFFERED_BYTES = 256 * 1024;

  private final InboundRequest inbound;
  private final CallerProtocol protocol;
  private final String requestId;
  private final List<HeaderField> headers;
  private final RequestBody body;
  private boolean responded;

  CallerExchange(
      InboundRequest inbound,
      CallerProtocol protocol,
      String requestId,
      List<HeaderField> headers) {
    this.inbound = inbound;
    this.protocol = protocol;
    this.requestId = requestId;
    this.headers = headers;
    this.body = inbound.body();
  }

  @Override
  public void refused(Verdict verdict) {
    if (responded) {
      if (!inbound.replaceUnsent(protocol.errorResponse(requestId, verdict))) {
        inbound.abort();
      }
      return;
    }
    responded = true;
    inbound.respond(protocol.errorResponse(requestId, verdict));
  }

  /**
   * Starts an attempt.
   *
   * @param x the request
   * @param handler runs the attempt
   * @param l receives the outcome of the attempt
   * @param nowNanos current monotonic time, in nanoseconds
   * @return cancels the attempt when run
   */
  Runnable startAttempt(Exchange x, AttemptHandler handler, AttemptListener l, long nowNanos) {
    Optional<Flux<ByteBuf>> streamed = body.streamed();
    if (streamed.isPresent() && body.isStreamConsumed()) {
      l.failed(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
      return () -> {};
    }
    AttemptHead head =
        AttemptHead.of(
            x.context(),
            nowNanos,
            x.route().bulk(),
            inbound.head().method().name(),
            inbound.head().uri(),
            headers,
            streamed.map(f -> body.lengthBytes()),
            Bytes.of(body.buffered()));
    AttemptResponseListener responseListener = new AttemptResponseListener(l);
    Runnable cancel = handler.startAttempt(head, streamed.orElse(Flux.empty()), responseListener);
    return () -> {
      responseListener.bufferSubscription.dispose();
      cancel.run();
    };
  }

  private void sendStreamed(ResponseHead head, Flux<ByteBuf> content) {
    if (hasNoBody(head.status())) {
      content.subscribe(ByteBuf::release, t -> {});
      sendFull(head, Unpooled.EMPTY_BUFFER);
      return;
    }
    HttpResponse r =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
    setHeaders(r, head);
    inbound.respond(r, content);
  }

  private void sendFull(ResponseHead head, ByteBuf content) {
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()), content);
    setHeaders(r, head);
    if (!hasNoBody(head.status())) {
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    }
    inbound.respond(r);
  }

  private void setHeaders(HttpResponse r, ResponseHead head) {
    head.headers().forEach(f -> r.headers().add(f.name(), f.value()));
    protocol.completeResponse(r.headers(), requestId);
  }

  private boolean hasNoBody(int status) {
    return inbound.head().method().equals(HttpMethod.HEAD)
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }

  /** Receives the outcome of one attempt and sends its response to the caller. */
  private final class AttemptResponseListener implements ResponseListener {
    private final AttemptListener listener;
    private Disposable bufferSubscription = () -> {};

    AttemptResponseListener(AttemptListener listener) {
      this.listener = listener;
    }

    @Override
    public void responseStarted(ResponseHead head, Flux<ByteBuf> content) {
      if (responded) {
        content.subscribe(ByteBuf::release).dispose();
      } else if (isShort(head)) {
        buffer(head, content);
      } else {
        forward(head, content);
      }
    }

    @Override
    public void fullResponseReceived(ResponseHead head, ByteBuf content) {
      if (responded) {
        content.release();
      } else {
        sendBuffered(head, content);
      }
    }

    @Override
    public void failed(Verdict verdict, Optional<TargetLoad> load) {
      listener.failed(verdict, load);
    }

    private void buffer(ResponseHead head, Flux<ByteBuf> content) {
      ByteBuf whole = Unpooled.buffer();
      bufferSubscription =
          content.subscribe(
              b -> {
                whole.writeBytes(b);
                b.release();
              },
              t ->
                  listener.failed(
                      new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.of(head.load())),
              () -> sendBuffered(head, whole));
    }

    private void sendBuffered(ResponseHead head, ByteBuf whole) {
      if (responded) {
        return;
      }
      responded = true;
      listener.responseStarted(head.load());
      if (hasNoBody(head.status())) {
        whole.release();
        sendFull(head, Unpooled.EMPTY_BUFFER);
      } else {
        sendFull(head, whole);
      }
      listener.responseEnded(true);
    }

    private void forward(ResponseHead head, Flux<ByteBuf> content) {
      responded = true;
      listener.responseStarted(head.load());
      sendStreamed(
          head,
          content
              .doOnComplete(() -> listener.responseEnded(true))
              .doOnError(t -> listener.responseEnded(false))
              .doOnCancel(() -> listener.responseEnded(false)));
    }

    private boolean isShort(ResponseHead head) {
      return head.headers().stream()
          .filter(f -> f.name().equalsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH.toString()))
          .findFirst()
          .filter(f -> f.value().length() <= 9 && isDigits(f.value()))
          .filter(f -> Long.parseLong(f.value()) <= MAX_BUFFERED_BYTES)
          .isPresent();
    }

    private static boolean isDigits(String s) {
      return !s.isEmpty() && s.chars().allMatch(c -> c >= '0' && c <= '9');
    }
  }
}
