package org.pomelohollow.daemon.internal.http;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.pomelohollow.daemon.internal.call.CallHandler;
import org.pomelohollow.daemon.internal.call.RunningRequests;
import org.pomelohollow.daemon.protocol.CallerProtocol;
import org.pomelohollow.daemon.protocol.CallerRequest;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.RequestBody;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.attempt.AttemptListener;
import org.pomelohollow.decision.attempt.AttemptTransport;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.RequestHead;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.Headers;
import org.tinylog.Logger;

/** Takes requests from HTTP into the filter chain, and their attempts out of it. */
public final class Entry implements AttemptTransport {
  private final RequestIds ids;
  private final RunningRequests running;
  private final LongSupplier clock;
  private final long maxBodyBytes;
  private final CallerProtocol protocol;
  private final RequestObserver observer;
  private final Map<String, CallerCall> calls = new HashMap<>();
  private Optional<Node> node = Optional.empty();
  private Function<MemberId, CallHandler> handlers = m -> (h, b, s) -> () -> {};

  /**
   * Creates an entry that takes no requests yet.
   *
   * @param self this daemon
   * @param running requests at the target of this host
   * @param clock monotonic time, in nanoseconds
   * @param maxBodyBytes greatest body of a request
   * @param protocol what callers speak
   * @param observer hears of every request that ends
   */
  public Entry(
      MemberId self,
      RunningRequests running,
      LongSupplier clock,
      long maxBodyBytes,
      CallerProtocol protocol,
      RequestObserver observer) {
    this.observer = observer;
    this.ids = new RequestIds(self);
    this.running = running;
    this.clock = clock;
    this.maxBodyBytes = maxBodyBytes;
    this.protocol = protocol;
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

  /** Returns the number of requests under way. */
  public int count() {
    return calls.size();
  }

  /**
   * Takes a caller's request.
   *
   * @param in the request
   */
  public void fromCaller(InboundRequest in) {
    take(in, Optional.empty());
  }

  /**
   * Takes an outbound call of the target, which names the request that it is made for.
   *
   * @param in the call
   */
  public void fromTarget(InboundRequest in) {
    Optional<RequestContext> parent =
        Optional.ofNullable(in.head().headers().get(Headers.REQUEST_ID)).flatMap(running::find);
    if (parent.isEmpty()) {
      refuse(in, ids.next(), ErrorCode.PARENT_UNKNOWN);
      return;
    }
    take(in, parent);
  }

  @Override
  public Runnable start(MemberId to, Exchange x, AttemptListener listener) {
    CallerCall c = calls.get(x.head().requestId());
    return c.attempt(x, handlers.apply(to), listener, clock.getAsLong());
  }

  private void take(InboundRequest in, Optional<RequestContext> parent) {
    try {
      CallerRequest r = protocol.read(in.head().headers());
      String id = r.requestId().filter(i -> !calls.containsKey(i)).orElseGet(ids::next);
      if (in.body().lengthBytes() > maxBodyBytes) {
        refuse(in, id, ErrorCode.REQUEST_TOO_LARGE);
      } else {
        run(in, r, id, parent);
      }
    } catch (IllegalArgumentException e) {
      Logger.info("callers: malformed request: {}", e.getMessage());
      refuse(in, ids.next(), ErrorCode.REQUEST_MALFORMED);
    }
  }

  private void refuse(InboundRequest in, String id, ErrorCode code) {
    in.respond(protocol.errorResponse(id, new Verdict.NotRun(code)));
  }

  private void run(InboundRequest in, CallerRequest r, String id, Optional<RequestContext> parent) {
    CallerCall c = new CallerCall(in, protocol, id, r.fieldsForTarget());
    Exchange x = new Exchange(head(in, r, id, parent), clock.getAsLong(), c);
    calls.put(id, c);
    Runnable leave = () -> x.finish(new Verdict.NotRun(ErrorCode.CANCELLED));
    Runnable detach = parent.map(p -> running.addChild(p.requestId(), leave)).orElse(() -> {});
    in.onDisconnect(leave);
    x.onEnd(
        v -> {
          calls.remove(id, c);
          detach.run();
          observer.ended(x, v, clock.getAsLong());
        });
    node.orElseThrow().start(x);
  }

  private static RequestHead head(
      InboundRequest in, CallerRequest r, String id, Optional<RequestContext> parent) {
    String uri = in.head().uri();
    int query = uri.indexOf('?');
    return new RequestHead(
        id,
        r.host(),
        in.head().method().name(),
        query < 0 ? uri : uri.substring(0, query),
        r.apiKey(),
        r.idempotencyKey(),
        r.timeoutMillis(),
        contentHash(uri, in.body()),
        parent);
  }

  private static long contentHash(String uri, RequestBody body) {
    long h = uri.hashCode();
    h = h * 31 + body.lengthBytes();
    return h * 31 + Arrays.hashCode(body.buffered());
  }
}
