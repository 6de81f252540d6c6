package org.pomelohollow.daemon.internal.http;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.pomelohollow.daemon.internal.call.AttemptHandler;
import org.pomelohollow.daemon.internal.call.TargetRequestRegistry;
import org.pomelohollow.daemon.internal.io.BodyBudget;
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
import org.pomelohollow.wire.HttpNames;
import org.tinylog.Logger;

/** Feeds inbound HTTP requests into the filter chain and starts the attempts that it decides on. */
public final class EntryPoint implements AttemptTransport {
  private final RequestIdGenerator ids;
  private final TargetRequestRegistry running;
  private final LongSupplier clock;
  private final long maxBodyBytes;
  private final BodyBudget budget;
  private final CallerProtocol protocol;
  private final RequestObserver observer;
  private final Map<String, OpenExchange> exchanges = new HashMap<>();
  private Optional<Node> node = Optional.empty();
  private boolean closed;
  private Function<MemberId, AttemptHandler> handlerLookup = m -> (h, b, s) -> () -> {};

  /**
   * Creates an entry point that accepts no requests yet.
   *
   * @param self this daemon
   * @param running registry of the requests that run at this host's target
   * @param clock monotonic time, in nanoseconds
   * @param maxBodyBytes largest allowed request body, in bytes
   * @param budget bounds the bytes of request bodies that are held; while it is spent, requests
   *     with long bodies are refused before their bodies are read
   * @param protocol protocol of the callers
   * @param observer notified of every request that ends
   */
  public EntryPoint(
      MemberId self,
      TargetRequestRegistry running,
      LongSupplier clock,
      long maxBodyBytes,
      BodyBudget budget,
      CallerProtocol protocol,
      RequestObserver observer) {
    this.observer = observer;
    this.ids = new RequestIdGenerator(self);
    this.running = running;
    this.clock = clock;
    this.maxBodyBytes = maxBodyBytes;
    this.budget = budget;
    this.protocol = protocol;
  }

  /**
   * Starts accepting requests.
   *
   * @param decidingNode node that decides on the requests
   * @param handlersByMember returns the handler that runs attempts at a member's target
   */
  public void open(Node decidingNode, Function<MemberId, AttemptHandler> handlersByMember) {
    node = Optional.of(decidingNode);
    handlerLookup = handlersByMember;
  }

  /**
   * Responds to all open requests that this daemon will not finish. Those that have not run are
   * refused as such, so that their callers can send them elsewhere. Requests that arrive later are
   * refused, too.
   */
  public void refuseAll() {
    closed = true;
    List.copyOf(exchanges.values()).forEach(x -> x.exchange.refuse(ErrorCode.DRAINING));
  }

  /** Returns the number of open requests. */
  public int count() {
    return exchanges.size();
  }

  /**
   * Handles a caller's request.
   *
   * @param in the request
   */
  public void handleCallerRequest(InboundRequest in) {
    handle(in, Optional.empty());
  }

  /**
   * Handles an outbound call of the target. Its header names the running request for which the
   * target makes it; without such a request the call is refused.
   *
   * @param in the call
   */
  public void handleOutboundCall(InboundRequest in) {
    Optional<RequestContext> parent =
        Optional.ofNullable(in.head().headers().get(HttpNames.REQUEST_ID)).flatMap(running::find);
    if (parent.isEmpty()) {
      reject(in, ids.next(), ErrorCode.PARENT_UNKNOWN);
      return;
    }
    handle(in, parent);
  }

  @Override
  public Runnable start(MemberId to, Exchange x, AttemptListener listener) {
    CallerExchange c = exchanges.get(x.head().requestId()).caller;
    return c.startAttempt(x, handlerLookup.apply(to), listener, clock.getAsLong());
  }

  private void handle(InboundRequest in, Optional<RequestContext> parent) {
    try {
      CallerRequest r = protocol.read(in.head().headers());
      String id = r.requestId().filter(i -> !exchanges.containsKey(i)).orElseGet(ids::next);
      if (closed) {
        reject(in, id, ErrorCode.DRAINING);
      } else if (in.body().lengthBytes() > maxBodyBytes) {
        reject(in, id, ErrorCode.REQUEST_TOO_LARGE);
      } else if (in.body().streamed().isPresent() && budget.isSpent()) {
        reject(in, id, ErrorCode.OVERLOADED);
      } else {
        startExchange(in, r, id, parent);
      }
    } catch (IllegalArgumentException e) {
      Logger.info("callers: refused a malformed request: {}", e.getMessage());
      reject(in, ids.next(), ErrorCode.REQUEST_MALFORMED);
    }
  }

  private void reject(InboundRequest in, String id, ErrorCode code) {
    in.respond(protocol.errorResponse(id, new Verdict.NotRun(code)));
  }

  private void startExchange(
      InboundRequest in, CallerRequest r, String id, Optional<RequestContext> parent) {
    CallerExchange c = new CallerExchange(in, protocol, id, r.fieldsForTarget());
    Exchange x = new Exchange(head(in, r, id, parent), in.receivedNanos(), c);
    x.setBodyBytes(in.body().lengthBytes());
    OpenExchange opened = new OpenExchange(c, x);
    exchanges.put(id, opened);
    Runnable cancel = x::cancel;
    Runnable unregister =
        parent.map(p -> running.addOutboundCall(p.requestId(), cancel)).orElse(() -> {});
    in.onDisconnect(cancel);
    x.onEnd(
        v -> {
          exchanges.remove(id, opened);
          unregister.run();
          observer.requestEnded(x, v, clock.getAsLong());
        });
    if (!x.hasEnded()) {
      node.orElseThrow().start(x);
    }
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

  /** A request that has not ended, and its decision state. */
  private record OpenExchange(CallerExchange caller, Exchange exchange) {}
}
