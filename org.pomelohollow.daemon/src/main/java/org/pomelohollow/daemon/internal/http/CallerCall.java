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
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.daemon.internal.call.CallHandler;
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
import org.pomelohollow.wire.AnswerHead;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.CallHead;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** One request of a caller, or one outbound call of the target, at its entry daemon. */
final class CallerCall implements ExchangeListener {
  /** Greatest answer that is collected before its head goes out, so that it can be tried again. */
  private static final long WHOLE_ANSWER_BYTES = 256 * 1024;

  private final InboundRequest in;
  private final CallerProtocol protocol;
  private final String requestId;
  private final List<HeaderField> headers;
  private final RequestBody body;
  private boolean answered;

  CallerCall(
      InboundRequest in, CallerProtocol protocol, String requestId, List<HeaderField> headers) {
    this.in = in;
    this.protocol = protocol;
    this.requestId = requestId;
    this.headers = headers;
    this.body = in.body();
  }

  @Override
  public void refused(Verdict verdict) {
    if (answered) {
      in.abort();
      return;
    }
    answered = true;
    in.respond(protocol.errorResponse(requestId, verdict));
  }

  /**
   * Starts an attempt.
   *
   * @param x the request
   * @param handler runs the call
   * @param l hears of the attempt
   * @param nowNanos current monotonic time, in nanoseconds
   * @return abandons the attempt when run
   */
  Runnable attempt(Exchange x, CallHandler handler, AttemptListener l, long nowNanos) {
    Optional<Flux<ByteBuf>> streamed = body.streamed();
    if (streamed.isPresent() && body.isStreamConsumed()) {
      l.refused(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
      return () -> {};
    }
    CallHead head =
        CallHead.of(
            x.context(),
            nowNanos,
            x.route().bulk(),
            in.head().method().name(),
            in.head().uri(),
            headers,
            streamed.map(f -> body.lengthBytes()),
            Bytes.of(body.buffered()));
    Answers answers = new Answers(l);
    Runnable abandon = handler.call(head, streamed.orElse(Flux.empty()), answers);
    return () -> {
      answers.collecting.dispose();
      abandon.run();
    };
  }

  private void send(AnswerHead head, Flux<ByteBuf> content) {
    if (hasNoBody(head.status())) {
      content.subscribe(ByteBuf::release, t -> {});
      sendWhole(head, Unpooled.EMPTY_BUFFER);
      return;
    }
    HttpResponse r =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()));
    complete(r, head);
    in.respond(r, content);
  }

  private void sendWhole(AnswerHead head, ByteBuf content) {
    DefaultFullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status()), content);
    complete(r, head);
    if (!hasNoBody(head.status())) {
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(content.readableBytes()));
    }
    in.respond(r);
  }

  private void complete(HttpResponse r, AnswerHead head) {
    head.headers().forEach(f -> r.headers().add(f.name(), f.value()));
    protocol.completeResponse(r.headers(), requestId);
  }

  private boolean hasNoBody(int status) {
    return in.head().method().equals(HttpMethod.HEAD)
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }

  /** Takes the outcome of one attempt. */
  private final class Answers implements AnswerSink {
    private final AttemptListener listener;
    private Disposable collecting = () -> {};

    Answers(AttemptListener listener) {
      this.listener = listener;
    }

    @Override
    public void answered(AnswerHead head, Flux<ByteBuf> content) {
      if (answered) {
        content.subscribe(ByteBuf::release).dispose();
      } else if (isShort(head)) {
        collect(head, content);
      } else {
        pass(head, content);
      }
    }

    @Override
    public void answeredWhole(AnswerHead head, ByteBuf content) {
      if (answered) {
        content.release();
      } else {
        collected(head, content);
      }
    }

    @Override
    public void refused(Verdict verdict, Optional<TargetLoad> load) {
      listener.refused(verdict, load);
    }

    private void collect(AnswerHead head, Flux<ByteBuf> content) {
      ByteBuf whole = Unpooled.buffer();
      collecting =
          content.subscribe(
              b -> {
                whole.writeBytes(b);
                b.release();
              },
              t ->
                  listener.refused(
                      new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.of(head.load())),
              () -> collected(head, whole));
    }

    private void collected(AnswerHead head, ByteBuf whole) {
      if (answered) {
        return;
      }
      answered = true;
      listener.answered(head.load());
      if (hasNoBody(head.status())) {
        whole.release();
        sendWhole(head, Unpooled.EMPTY_BUFFER);
      } else {
        sendWhole(head, whole);
      }
      listener.ended(true);
    }

    private void pass(AnswerHead head, Flux<ByteBuf> content) {
      answered = true;
      listener.answered(head.load());
      send(
          head,
          content
              .doOnComplete(() -> listener.ended(true))
              .doOnError(t -> listener.ended(false))
              .doOnCancel(() -> listener.ended(false)));
    }

    private boolean isShort(AnswerHead head) {
      return head.headers().stream()
          .filter(f -> f.name().equalsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH.toString()))
          .findFirst()
          .filter(f -> f.value().length() <= 9 && isDigits(f.value()))
          .filter(f -> Long.parseLong(f.value()) <= WHOLE_ANSWER_BYTES)
          .isPresent();
    }

    private static boolean isDigits(String s) {
      return !s.isEmpty() && s.chars().allMatch(c -> c >= '0' && c <= '9');
    }
  }
}
