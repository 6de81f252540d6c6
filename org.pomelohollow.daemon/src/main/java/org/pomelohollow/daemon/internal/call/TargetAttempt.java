package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.guard.GuardListener;
import org.pomelohollow.decision.guard.GuardedRequest;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** One attempt at the target of this host, from the guard's admission to its outcome. */
final class TargetAttempt implements GuardListener, TargetExchangeListener {
  private final Node node;
  private final TargetClient client;
  private final TargetRequestRegistry running;
  private final LongSupplier clock;
  private final CancellationObserver cancellations;
  private final AttemptHead head;
  private final RequestContext context;
  private final Flux<ByteBuf> body;
  private final ResponseListener responseListener;
  private Optional<GuardedRequest> guardedRequest = Optional.empty();
  private Disposable exchange = () -> {};
  private Optional<ResponseRecorder> recorder = Optional.empty();
  private Optional<Long> sentNanos = Optional.empty();
  private boolean cancelled;
  private boolean ended;

  TargetAttempt(
      Node node,
      TargetClient client,
      TargetRequestRegistry running,
      LongSupplier clock,
      CancellationObserver cancellations,
      AttemptHead head,
      RequestContext context,
      Flux<ByteBuf> body,
      ResponseListener responseListener) {
    this.node = node;
    this.client = client;
    this.running = running;
    this.clock = clock;
    this.cancellations = cancellations;
    this.head = head;
    this.context = context;
    this.body = body;
    this.responseListener = responseListener;
  }

  void setGuardedRequest(GuardedRequest g) {
    guardedRequest = Optional.of(g);
  }

  /**
   * Cancels the attempt because the entry daemon no longer waits for it. If its response is
   * recorded for resends, a request that was already sent to the target runs to its end.
   */
  void cancel() {
    cancelled = true;
    if (ended) {
      return;
    }
    cancellations.cancelled(context.requestId(), sentNanos, clock.getAsLong());
    if (sentNanos.isEmpty()) {
      ended = true;
      guardedRequest.ifPresent(g -> g.cancel(clock.getAsLong()));
    } else if (!recordsResponse()) {
      finish(Completion.CANCELLED);
      exchange.dispose();
    }
  }

  @Override
  public void run() {
    if (cancelled) {
      return;
    }
    sentNanos = Optional.of(clock.getAsLong());
    running.add(context);
    exchange = client.send(head, context, body, this);
  }

  @Override
  public void refused(Verdict verdict) {
    ended = true;
    responseListener.failed(verdict, load());
  }

  @Override
  public void replay(RecordedResponse a) {
    ended = true;
    byte[] b = Base64.getDecoder().decode(a.body());
    responseListener.responseStarted(
        new ResponseHead(a.status(), a.headers(), node.admission().load(context.route()), notice()),
        Flux.just(Unpooled.wrappedBuffer(b)));
  }

  @Override
  public void headReceived(TargetNotice notice, Optional<ReportedLoad> load, long sentNanos) {
    long now = clock.getAsLong();
    load.ifPresent(l -> recordLoad(notice.target(), l, now));
    if (node.admission().notices().recordResponse(notice, sentNanos, now)) {
      Logger.info("target: says in its response to {}: {}", context.requestId(), notice);
      node.handle(new Event.TargetNoticeChanged());
    }
  }

  private void recordLoad(TargetIncarnation from, ReportedLoad l, long nowNanos) {
    if (node.admission().recordTargetReport(from, l, nowNanos)) {
      Logger.info("load: {} reports {}", from, node.admission().describeTargetReport(nowNanos));
    }
  }

  @Override
  public void responseStarted(int status, TargetExchangeListener.StreamedResponse response) {
    if (ended) {
      response.body().subscribe(ByteBuf::release);
      return;
    }
    Flux<ByteBuf> content = response.body();
    recordFailure(status, response.headers());
    if (recordsResponse()) {
      ResponseRecorder r = new ResponseRecorder(status, response.headers());
      recorder = Optional.of(r);
      content = content.doOnNext(r::add);
    }
    Flux<ByteBuf> observed =
        content
            .doOnComplete(() -> finish(Completion.RESPONDED))
            .doOnError(t -> finish(Completion.FAILED));
    if (cancelled) {
      observed.subscribe(ByteBuf::release, t -> {});
      return;
    }
    responseListener.responseStarted(
        new ResponseHead(
            status, response.headers(), node.admission().load(context.route()), notice()),
        observed.doOnCancel(this::cancel));
  }

  @Override
  public void fullResponseReceived(int status, List<HeaderField> headers, ByteBuf body) {
    if (ended) {
      body.release();
      return;
    }
    recordFailure(status, headers);
    if (recordsResponse()) {
      ResponseRecorder r = new ResponseRecorder(status, headers);
      r.add(body);
      recorder = Optional.of(r);
    }
    finish(Completion.RESPONDED);
    if (cancelled) {
      body.release();
    } else {
      responseListener.fullResponseReceived(
          new ResponseHead(status, headers, node.admission().load(context.route()), notice()),
          body);
    }
  }

  @Override
  public void shed(long retryAfterMillis) {
    fail(Completion.SHED, new Verdict.NotRun(ErrorCode.TARGET_REFUSED, retryAfterMillis));
  }

  @Override
  public void failed(boolean reached, ErrorCode code) {
    Completion c = code == ErrorCode.DEADLINE_EXCEEDED ? Completion.TIMED_OUT : Completion.FAILED;
    if (!reached && !ended) {
      guardedRequest.ifPresent(g -> g.completeUnsent(c, clock.getAsLong()));
    }
    fail(c, reached ? new Verdict.MayHaveRun(code) : new Verdict.NotRun(code));
  }

  private void recordFailure(int status, List<HeaderField> headers) {
    if (client.protocol().isFailure(status, headers)) {
      guardedRequest.ifPresent(GuardedRequest::recordTargetFailure);
    }
  }

  private void fail(Completion c, Verdict v) {
    if (ended) {
      return;
    }
    finish(c);
    if (!cancelled) {
      responseListener.failed(v, load());
    }
  }

  private void finish(Completion c) {
    if (ended) {
      return;
    }
    ended = true;
    running.remove(context);
    Optional<RecordedResponse> a =
        c == Completion.RESPONDED
            ? recorder.flatMap(ResponseRecorder::recordedResponse)
            : Optional.empty();
    guardedRequest.ifPresent(g -> g.complete(c, a, clock.getAsLong()));
  }

  private boolean recordsResponse() {
    return guardedRequest.filter(GuardedRequest::recordsResponse).isPresent();
  }

  private Optional<TargetNotice> notice() {
    return node.admission().notices().current();
  }

  private Optional<TargetLoad> load() {
    return Optional.of(node.admission().load(context.route()));
  }
}
