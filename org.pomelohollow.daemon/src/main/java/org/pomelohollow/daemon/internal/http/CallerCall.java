package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.AnswerSink;
import org.pomelohollow.daemon.internal.call.CallHandler;
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
import org.pomelohollow.wire.Headers;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableChannel;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** One request of a caller, or one outbound call of the target, at its entry daemon. */
final class CallerCall implements ExchangeListener {
  private final HttpServerRequest req;
  private final HttpServerResponse res;
  private final String requestId;
  private final List<HeaderField> headers;
  private final RequestBody body;
  private final Sinks.One<Publisher<Void>> reply = Sinks.one();
  private boolean answered;

  CallerCall(
      HttpServerRequest req,
      HttpServerResponse res,
      String requestId,
      List<HeaderField> headers,
      RequestBody body) {
    this.req = req;
    this.res = res;
    this.requestId = requestId;
    this.headers = headers;
    this.body = body;
  }

  /** Returns what is sent to the caller, once it is known. */
  Mono<Void> reply() {
    return reply.asMono().flatMap(Mono::from);
  }

  @Override
  public void refused(Verdict verdict) {
    if (answered) {
      res.withConnection(DisposableChannel::dispose);
      return;
    }
    answered = true;
    reply.tryEmitValue(Problems.send(res, requestId, verdict));
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
    if (streamed.isPresent() && body.isSpent()) {
      l.refused(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST), Optional.empty());
      return () -> {};
    }
    CallHead head =
        CallHead.of(
            x.context(),
            nowNanos,
            x.route().bulk(),
            req.method().name(),
            req.uri(),
            headers,
            streamed.map(f -> body.length()),
            Bytes.of(body.whole()));
    return handler.call(head, streamed.orElse(Flux.empty()), new Answers(l));
  }

  private Publisher<Void> send(AnswerHead head, Flux<ByteBuf> content) {
    res.status(head.status());
    head.headers().forEach(f -> res.addHeader(f.name(), f.value()));
    res.header(Headers.VERDICT, "ran").header(Headers.REQUEST_ID, requestId);
    if (hasNoBody(head.status())) {
      return content.doOnNext(ByteBuf::release).then(res.send().then());
    }
    return res.send(content);
  }

  private boolean hasNoBody(int status) {
    return req.method().equals(HttpMethod.HEAD)
        || status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }

  /** Takes the outcome of one attempt. */
  private final class Answers implements AnswerSink {
    private final AttemptListener listener;

    Answers(AttemptListener listener) {
      this.listener = listener;
    }

    @Override
    public void answered(AnswerHead head, Flux<ByteBuf> content) {
      if (answered) {
        content.subscribe(ByteBuf::release).dispose();
        return;
      }
      answered = true;
      listener.answered(head.load());
      Flux<ByteBuf> told =
          content
              .doOnComplete(() -> listener.ended(true))
              .doOnError(t -> listener.ended(false))
              .doOnCancel(() -> listener.ended(false));
      reply.tryEmitValue(send(head, told));
    }

    @Override
    public void refused(Verdict verdict, Optional<TargetLoad> load) {
      listener.refused(verdict, load);
    }
  }
}
