package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.CallHead;
import org.pomelohollow.wire.Headers;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.NettyOutbound;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Hands requests to the target over HTTP/1.1. A request is sent at most once. */
public final class TargetClient {
  private static final int UNAVAILABLE = 503;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration MAX_IDLE = Duration.ofSeconds(5);

  private final LoopResources loops;
  private final Scheduler loop;
  private Optional<Connected> target = Optional.empty();

  /**
   * Creates a client without a target.
   *
   * @param loops event loops with one worker
   * @param loop the same worker as a scheduler
   */
  public TargetClient(LoopResources loops, Scheduler loop) {
    this.loops = loops;
    this.loop = loop;
  }

  /**
   * Sets the target. Requests under way are not touched.
   *
   * @param address where it takes requests
   * @param connections most connections to it
   */
  public void setTarget(Endpoint address, int connections) {
    if (target.filter(t -> t.address.equals(address) && t.connections == connections).isPresent()) {
      return;
    }
    target.ifPresent(t -> t.pool.disposeLater().subscribe());
    ConnectionProvider pool =
        ConnectionProvider.builder("target")
            .maxConnections(connections)
            .pendingAcquireMaxCount(-1)
            .maxIdleTime(MAX_IDLE)
            .lifo()
            .build();
    HttpClient http =
        HttpClient.create(pool)
            .runOn(loops)
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
            .baseUrl("http://" + address);
    target = Optional.of(new Connected(address, connections, pool, http));
  }

  /** Forgets the target and closes connections that are not in use. */
  public void clearTarget() {
    target.ifPresent(t -> t.pool.disposeLater().subscribe());
    target = Optional.empty();
  }

  /**
   * Sends a request to the target.
   *
   * @param head the request
   * @param context its context at this daemon
   * @param body its body, if streamed
   * @param listener hears the outcome, never before this method returns
   * @return cuts the exchange when disposed; nothing is told afterwards
   */
  public Disposable exchange(
      CallHead head, RequestContext context, Flux<ByteBuf> body, Listener listener) {
    if (target.isEmpty()) {
      return loop.schedule(() -> listener.failed(false, ErrorCode.NO_TARGET));
    }
    Exchange x = new Exchange(head, context, body, listener);
    Mono<Void> run =
        target
            .get()
            .http
            .doOnRequest((r, c) -> x.reached = true)
            .request(HttpMethod.valueOf(head.method()))
            .uri(head.uri())
            .send(x::send)
            .response(x::receive)
            .then();
    Disposable running =
        run.subscribeOn(loop).doFinally(s -> x.timer.dispose()).subscribe(v -> {}, x::fail);
    Runnable expire =
        () -> {
          x.fail(new TimeoutException());
          running.dispose();
        };
    long left = Math.max(1, context.remainingNanos(System.nanoTime()));
    x.timer = loop.schedule(expire, left, TimeUnit.NANOSECONDS);
    return running;
  }

  /** Hears the outcome of an exchange. */
  public interface Listener {
    /**
     * The head of the answer is here.
     *
     * @param status its status
     * @param answer the rest
     */
    void answered(int status, Answer answer);

    /**
     * The target refused in the form of its contract: it has not run the request.
     *
     * @param retryAfterMillis time that it named, in milliseconds, 0 if none
     */
    void shed(long retryAfterMillis);

    /**
     * There is no answer.
     *
     * @param reached whether some of the request may have reached the target
     * @param code what happened
     */
    void failed(boolean reached, ErrorCode code);
  }

  /**
   * Rest of an answer.
   *
   * @param headers fields for the caller
   * @param body body; each buffer is handed over to the subscriber
   */
  public record Answer(List<HeaderField> headers, Flux<ByteBuf> body) {}

  private record Connected(
      Endpoint address, int connections, ConnectionProvider pool, HttpClient http) {}

  /** One request and its answer. */
  private static final class Exchange {
    private final CallHead head;
    private final RequestContext context;
    private final Flux<ByteBuf> body;
    private final Listener listener;
    private Disposable timer = () -> {};
    private boolean reached;
    private boolean settled;

    Exchange(CallHead head, RequestContext context, Flux<ByteBuf> body, Listener listener) {
      this.head = head;
      this.context = context;
      this.body = body;
      this.listener = listener;
    }

    Publisher<Void> send(HttpClientRequest r, NettyOutbound out) {
      HttpHeaders h = r.requestHeaders();
      h.remove(HttpHeaderNames.USER_AGENT);
      h.remove(HttpHeaderNames.ACCEPT);
      h.remove(HttpHeaderNames.HOST);
      head.headers().forEach(f -> h.add(f.name(), f.value()));
      h.set(Headers.REQUEST_ID, context.requestId());
      long left = TimeUnit.NANOSECONDS.toMillis(context.remainingNanos(System.nanoTime()));
      h.set(Headers.TIMEOUT_MILLIS, Long.toString(Math.max(1, left)));
      if (head.streamedLength().isPresent()) {
        return out.send(body);
      }
      if (head.body().length() == 0) {
        return out.then();
      }
      h.set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(head.body().length()));
      return out.send(Mono.just(Unpooled.wrappedBuffer(head.body().array())));
    }

    Publisher<Void> receive(HttpClientResponse r, ByteBufFlux content) {
      if (isForeign(r)) {
        fail(new IllegalStateException("answer of another request"));
        return Mono.error(new IllegalStateException("answer of another request"));
      }
      settled = true;
      if (isShed(r)) {
        listener.shed(retryAfterMillis(r));
        return content.then();
      }
      Sinks.Empty<Void> done = Sinks.empty();
      Flux<ByteBuf> answer = content.retain().doFinally(s -> done.tryEmitEmpty());
      listener.answered(
          r.status().code(), new Answer(HeaderRules.forCaller(r.responseHeaders()), answer));
      return done.asMono();
    }

    void fail(Throwable t) {
      if (settled) {
        return;
      }
      settled = true;
      listener.failed(
          reached, t instanceof TimeoutException ? ErrorCode.DEADLINE_EXCEEDED : code());
    }

    private ErrorCode code() {
      return reached ? ErrorCode.CONNECTION_LOST : ErrorCode.UNREACHABLE;
    }

    private boolean isForeign(HttpClientResponse r) {
      String id = r.responseHeaders().get(Headers.REQUEST_ID);
      return id != null && !id.equals(context.requestId());
    }

    private static boolean isShed(HttpClientResponse r) {
      return r.status().code() == UNAVAILABLE
          && "not-run".equals(r.responseHeaders().get(Headers.VERDICT));
    }

    private static long retryAfterMillis(HttpClientResponse r) {
      try {
        return TimeUnit.SECONDS.toMillis(
            Long.parseLong(r.responseHeaders().get(HttpHeaderNames.RETRY_AFTER, "0")));
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
