package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.guard.GuardListener;
import org.pomelohollow.decision.guard.GuardedRequest;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/** One call at the target of this host. */
final class TargetCall implements GuardListener, TargetListener {
  private final Node node;
  private final TargetClient client;
  private final RunningRequests running;
  private final LongSupplier clock;
  private final AttemptHead head;
  private final RequestContext context;
  private final Flux<ByteBuf> body;
  private final AnswerSink sink;
  private Optional<GuardedRequest> guarded = Optional.empty();
  private Disposable exchange = () -> {};
  private Optional<AnswerRecorder> recorder = Optional.empty();
  private boolean handed;
  private boolean abandoned;
  private boolean over;

  TargetCall(
      Node node,
      TargetClient client,
      RunningRequests running,
      LongSupplier clock,
      AttemptHead head,
      RequestContext context,
      Flux<ByteBuf> body,
      AnswerSink sink) {
    this.node = node;
    this.client = client;
    this.running = running;
    this.clock = clock;
    this.head = head;
    this.context = context;
    this.body = body;
    this.sink = sink;
  }

  void setGuarded(GuardedRequest g) {
    guarded = Optional.of(g);
  }

  /** The entry has gone. A request whose answer is kept for resends runs to its end. */
  void abandon() {
    abandoned = true;
    if (over) {
      return;
    }
    if (!handed) {
      over = true;
      guarded.ifPresent(g -> g.cancel(clock.getAsLong()));
    } else if (!keepsAnswer()) {
      finish(Completion.CANCELLED);
      exchange.dispose();
    }
  }

  @Override
  public void run() {
    if (abandoned) {
      return;
    }
    handed = true;
    running.add(context);
    exchange = client.exchange(head, context, body, this);
  }

  @Override
  public void refused(Verdict verdict) {
    over = true;
    sink.refused(verdict, load());
  }

  @Override
  public void replay(RecordedResponse a) {
    over = true;
    byte[] b = Base64.getDecoder().decode(a.body());
    sink.answered(
        new ResponseHead(a.status(), a.headers(), node.admission().load(context.route())),
        Flux.just(Unpooled.wrappedBuffer(b)));
  }

  @Override
  public void answered(int status, TargetListener.Answer answer) {
    if (over) {
      answer.body().subscribe(ByteBuf::release);
      return;
    }
    Flux<ByteBuf> content = answer.body();
    if (keepsAnswer()) {
      AnswerRecorder r = new AnswerRecorder(status, answer.headers());
      recorder = Optional.of(r);
      content = content.doOnNext(r::add);
    }
    Flux<ByteBuf> told =
        content
            .doOnComplete(() -> finish(Completion.ANSWERED))
            .doOnError(t -> finish(Completion.FAILED));
    if (abandoned) {
      told.subscribe(ByteBuf::release, t -> {});
      return;
    }
    sink.answered(
        new ResponseHead(status, answer.headers(), node.admission().load(context.route())),
        told.doOnCancel(this::abandon));
  }

  @Override
  public void answeredWhole(int status, List<HeaderField> headers, ByteBuf body) {
    if (over) {
      body.release();
      return;
    }
    if (keepsAnswer()) {
      AnswerRecorder r = new AnswerRecorder(status, headers);
      r.add(body);
      recorder = Optional.of(r);
    }
    finish(Completion.ANSWERED);
    if (abandoned) {
      body.release();
    } else {
      sink.answeredWhole(
          new ResponseHead(status, headers, node.admission().load(context.route())), body);
    }
  }

  @Override
  public void shed(long retryAfterMillis) {
    end(Completion.SHED, new Verdict.NotRun(ErrorCode.TARGET_REFUSED, retryAfterMillis));
  }

  @Override
  public void failed(boolean reached, ErrorCode code) {
    Completion c = code == ErrorCode.DEADLINE_EXCEEDED ? Completion.TIMED_OUT : Completion.FAILED;
    if (!reached && !over) {
      guarded.ifPresent(g -> g.completeUnsent(c, clock.getAsLong()));
    }
    end(c, reached ? new Verdict.MayHaveRun(code) : new Verdict.NotRun(code));
  }

  private void end(Completion c, Verdict v) {
    if (over) {
      return;
    }
    finish(c);
    if (!abandoned) {
      sink.refused(v, load());
    }
  }

  private void finish(Completion c) {
    if (over) {
      return;
    }
    over = true;
    running.remove(context);
    Optional<RecordedResponse> a =
        c == Completion.ANSWERED ? recorder.flatMap(AnswerRecorder::answer) : Optional.empty();
    guarded.ifPresent(g -> g.complete(c, a, clock.getAsLong()));
  }

  private boolean keepsAnswer() {
    return guarded.filter(GuardedRequest::recordsResponse).isPresent();
  }

  private Optional<TargetLoad> load() {
    return Optional.of(node.admission().load(context.route()));
  }
}
