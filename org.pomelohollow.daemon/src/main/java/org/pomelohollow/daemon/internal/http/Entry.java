package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.pomelohollow.daemon.internal.call.CallHandler;
import org.pomelohollow.daemon.internal.call.HeaderRules;
import org.pomelohollow.daemon.internal.call.RunningRequests;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.attempt.AttemptListener;
import org.pomelohollow.decision.attempt.AttemptTransport;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.RequestHead;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.Headers;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Takes requests from HTTP into the filter chain, and their attempts out of it. */
public final class Entry implements AttemptTransport {
  /** Greatest body that is read before the chain starts, in bytes. */
  private static final int WHOLE_BODY_BYTES = 16 * 1024;

  private static final String BEARER = "Bearer ";

  private final RequestIds ids;
  private final RunningRequests running;
  private final LongSupplier clock;
  private final long maxBodyBytes;
  private final RequestObserver observer;
  private final Map<String, CallerCall> calls = new HashMap<>();
  private Optional<Node> node = Optional.empty();
  private boolean leaving;
  private Function<MemberId, CallHandler> handlers = m -> (h, b, s) -> () -> {};

  /**
   * Creates an entry that takes no requests yet.
   *
   * @param self this daemon
   * @param running requests at the target of this host
   * @param clock monotonic time, in nanoseconds
   * @param maxBodyBytes greatest body of a request
   * @param observer hears of every request that ends
   */
  public Entry(
      MemberId self,
      RunningRequests running,
      LongSupplier clock,
      long maxBodyBytes,
      RequestObserver observer) {
    this.observer = observer;
    this.ids = new RequestIds(self);
    this.running = running;
    this.clock = clock;
    this.maxBodyBytes = maxBodyBytes;
  }

  /**
   * Starts to take requests.
   *
   * @param n decides on them
   * @param h gives the way to a member
   */
  public void open(Node n, Function<MemberId, CallHandler> h) {
    node = Optional.of(n);
    handlers = h;
  }

  /** Closes each connection after its answer from now on, since the daemon is leaving. */
  public void leave() {
    leaving = true;
  }

  /** Returns the number of requests under way. */
  public int count() {
    return calls.size();
  }

  /**
   * Takes a caller's request.
   *
   * @param req the request
   * @param res its answer
   * @return ends when the answer has been sent
   */
  public Publisher<Void> fromCaller(HttpServerRequest req, HttpServerResponse res) {
    return take(req, res, Optional.empty());
  }

  /**
   * Takes an outbound call of the target.
   *
   * @param req the request
   * @param res its answer
   * @return ends when the answer has been sent
   */
  public Publisher<Void> fromTarget(HttpServerRequest req, HttpServerResponse res) {
    Optional<RequestContext> parent =
        Optional.ofNullable(req.requestHeaders().get(Headers.REQUEST_ID)).flatMap(running::find);
    if (parent.isEmpty()) {
      return Problems.send(res, ids.next(), new Verdict.NotRun(ErrorCode.PARENT_UNKNOWN));
    }
    return take(req, res, parent);
  }

  @Override
  public Runnable start(MemberId to, Exchange x, AttemptListener listener) {
    CallerCall c = calls.get(x.head().requestId());
    return c.attempt(x, handlers.apply(to), listener, clock.getAsLong());
  }

  private Publisher<Void> take(
      HttpServerRequest req, HttpServerResponse res, Optional<RequestContext> parent) {
    String id = ids.next();
    if (leaving) {
      res.keepAlive(false);
    }
    try {
      long length = bodyLength(req.requestHeaders());
      checkTimeout(req.requestHeaders());
      if (length > maxBodyBytes) {
        return Problems.send(res, id, new Verdict.NotRun(ErrorCode.REQUEST_TOO_LARGE));
      }
      if (length >= 0 && length <= WHOLE_BODY_BYTES) {
        return whole(req, length).flatMap(b -> run(req, res, id, parent, RequestBody.whole(b)));
      }
      return run(req, res, id, parent, RequestBody.streamed(bounded(req), length));
    } catch (NumberFormatException e) {
      return Problems.send(res, id, new Verdict.NotRun(ErrorCode.REQUEST_MALFORMED));
    }
  }

  private Mono<Void> run(
      HttpServerRequest req,
      HttpServerResponse res,
      String id,
      Optional<RequestContext> parent,
      RequestBody body) {
    CallerCall c = new CallerCall(req, res, id, HeaderRules.forTarget(req.requestHeaders()), body);
    Exchange x = new Exchange(head(req, id, parent, body), clock.getAsLong(), c);
    calls.put(id, c);
    x.onEnd(v -> observer.ended(v, clock.getAsLong() - x.arrivedNanos()));
    Runnable leave = () -> x.finish(new Verdict.NotRun(ErrorCode.CANCELLED));
    Runnable detach = parent.map(p -> running.addChild(p.requestId(), leave)).orElse(() -> {});
    return Mono.defer(
            () -> {
              node.orElseThrow().start(x);
              return c.reply();
            })
        .doFinally(
            s -> {
              calls.remove(id);
              detach.run();
              leave.run();
            });
  }

  private static RequestHead head(
      HttpServerRequest req, String id, Optional<RequestContext> parent, RequestBody body) {
    HttpHeaders h = req.requestHeaders();
    int query = req.uri().indexOf('?');
    String path = query < 0 ? req.uri() : req.uri().substring(0, query);
    return new RequestHead(
        id,
        req.method().name(),
        path,
        Optional.ofNullable(h.get(Headers.AUTHORIZATION))
            .filter(a -> a.startsWith(BEARER))
            .map(a -> a.substring(BEARER.length())),
        Optional.ofNullable(h.get(Headers.IDEMPOTENCY_KEY)),
        timeoutMillis(h),
        contentHash(req.uri(), body),
        parent);
  }

  private static Optional<Long> timeoutMillis(HttpHeaders h) {
    return Optional.ofNullable(h.get(Headers.TIMEOUT_MILLIS)).map(Long::parseLong);
  }

  private static void checkTimeout(HttpHeaders h) {
    if (timeoutMillis(h).filter(t -> t < 0).isPresent()) {
      throw new NumberFormatException("negative timeout");
    }
  }

  private static long contentHash(String uri, RequestBody body) {
    long h = uri.hashCode();
    h = h * 31 + body.length();
    return h * 31 + Arrays.hashCode(body.whole());
  }

  private static Mono<byte[]> whole(HttpServerRequest req, long length) {
    return length == 0
        ? Mono.just(new byte[0])
        : req.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]);
  }

  private Flux<ByteBuf> bounded(HttpServerRequest req) {
    long[] seen = new long[1];
    return req.receive()
        .retain()
        .doOnNext(
            b -> {
              seen[0] += b.readableBytes();
              if (seen[0] > maxBodyBytes) {
                b.release();
                throw new PomelohollowException(
                    ErrorCode.REQUEST_TOO_LARGE, "more than " + maxBodyBytes + " bytes");
              }
            });
  }

  /** Returns the length of the body, -1 if it is chunked. */
  private static long bodyLength(HttpHeaders h) {
    if (h.contains(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
      return -1;
    }
    String length = h.get(HttpHeaderNames.CONTENT_LENGTH);
    return length == null ? 0 : Long.parseLong(length);
  }
}
