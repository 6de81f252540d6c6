package org.pomelohollow.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.Verdict;

/** State of a request at its entry daemon, from arrival to end. Confined to one thread. */
public final class Exchange {
  private final RequestHead head;
  private final long arrivedNanos;
  private final ExchangeListener listener;
  private final List<Consumer<Verdict>> endHooks = new ArrayList<>();
  private Optional<RouteEntry> route = Optional.empty();
  private Optional<ServiceId> service = Optional.empty();
  private Optional<AccountId> account = Optional.empty();
  private int rankOffset;
  private Optional<RequestContext> context = Optional.empty();
  private Optional<Verdict> finalVerdict = Optional.empty();
  private UnaryOperator<Verdict> refusalMapper = UnaryOperator.identity();
  private int possiblyRunAttempts;
  private long bodyBytes;

  /**
   * Creates an exchange.
   *
   * @param head fields of the request
   * @param arrivedNanos monotonic time of arrival, in nanoseconds
   * @param listener notified if the request is refused
   */
  public Exchange(RequestHead head, long arrivedNanos, ExchangeListener listener) {
    this.head = Objects.requireNonNull(head, "head");
    this.arrivedNanos = arrivedNanos;
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the fields of the request as received. */
  public RequestHead head() {
    return head;
  }

  /** Returns the monotonic time of arrival, in nanoseconds. */
  public long arrivedNanos() {
    return arrivedNanos;
  }

  /**
   * Returns the matched route.
   *
   * @throws java.util.NoSuchElementException before {@link RouteFilter} has run
   */
  public RouteEntry route() {
    return route.orElseThrow();
  }

  /**
   * Returns the service that the request is for.
   *
   * @throws java.util.NoSuchElementException before {@link RouteFilter} has run
   */
  public ServiceId service() {
    return service.orElseThrow();
  }

  /** Returns the name of the matched route for logs, empty before a route is matched. */
  public Optional<String> routeName() {
    return route.map(RouteEntry::name);
  }

  /** Returns the name of the service for logs, empty before a route is matched. */
  public Optional<String> serviceName() {
    return service.map(ServiceId::value);
  }

  void setRoute(RouteEntry r, ServiceId s) {
    route = Optional.of(r);
    service = Optional.of(s);
  }

  /** Returns the priority of the route, lowered by the rank offset of the client account. */
  Priority priority() {
    return new Priority(Math.min(route().priority().rank() + rankOffset, Priority.MAX_COUNT - 1));
  }

  /**
   * Returns whether this is a call of a running request. That is so if the calling target names
   * that request, or if the request has no API key and its route is open, as for calls of targets
   * that don't name the running request.
   */
  public boolean isChildCall() {
    return head.parent().isPresent() || (route().open() && head.apiKey().isEmpty());
  }

  /** Returns the authenticated client account, empty for requests of callers on open routes. */
  public Optional<AccountId> account() {
    return account;
  }

  void setAccount(AccountId a) {
    account = Optional.of(a);
  }

  void setRankOffset(int offset) {
    rankOffset = offset;
  }

  /**
   * Returns the context that is sent along with the request's attempts.
   *
   * @throws java.util.NoSuchElementException before {@link DeadlineFilter} has run
   */
  public RequestContext context() {
    return context.orElseThrow();
  }

  /**
   * Sets the context, replacing any earlier one.
   *
   * @param c the new context
   */
  public void setContext(RequestContext c) {
    context = Optional.of(c);
  }

  /** Returns the length of the request body in bytes, 0 if it is unknown. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /**
   * Sets the length of the request body.
   *
   * @param n length in bytes; negative if it is unknown
   */
  public void setBodyBytes(long n) {
    bodyBytes = Math.max(0, n);
  }

  /** Returns whether the exchange has ended. */
  public boolean hasEnded() {
    return finalVerdict.isPresent();
  }

  /**
   * Adds a hook that is called once when the exchange ends, or immediately if it has ended.
   *
   * @param hook receives the final verdict
   */
  public void onEnd(Consumer<Verdict> hook) {
    if (finalVerdict.isPresent()) {
      hook.accept(finalVerdict.get());
    } else {
      endHooks.add(hook);
    }
  }

  /**
   * Sets a function that is applied to the verdict of a refusal before it is reported, for example
   * to change its retry delay.
   *
   * @param mapper returns the verdict to report
   */
  public void mapRefusal(UnaryOperator<Verdict> mapper) {
    refusalMapper = mapper;
  }

  /** Records the start of an attempt; from then on the request may have run. */
  public void attemptStarted() {
    possiblyRunAttempts++;
  }

  /** Records that an attempt ended and certainly did not run. */
  public void attemptNotRun() {
    possiblyRunAttempts--;
  }

  /**
   * Ends the exchange with a refusal or failure, unless it has ended. If any attempt may have run,
   * a {@link Verdict.NotRun} is replaced by a {@link Verdict.MayHaveRun} of the same code. A
   * refusal because of an outage gets a retry delay if it has none.
   *
   * @param verdict verdict to report to the caller
   */
  public void refuse(Verdict verdict) {
    if (hasEnded()) {
      return;
    }
    Verdict v =
        OutageRetryDelay.addTo(refusalMapper.apply(withPossibleRuns(verdict)), head.requestId());
    if (finish(v)) {
      listener.refused(v);
    }
  }

  /**
   * Ends the exchange with a refusal that gives no time for a retry.
   *
   * @param code reason of the refusal
   */
  public void refuse(ErrorCode code) {
    refuse(new Verdict.NotRun(code));
  }

  /** Ends the exchange because the caller disconnected, unless it has ended. */
  public void cancel() {
    finish(withPossibleRuns(new Verdict.NotRun(ErrorCode.CANCELLED)));
  }

  /**
   * Ends the exchange because its response was sent to the caller.
   *
   * @param verdict whether the request ran, as far as is known
   * @return false if the exchange had already ended
   */
  public boolean finish(Verdict verdict) {
    if (finalVerdict.isPresent()) {
      return false;
    }
    finalVerdict = Optional.of(verdict);
    endHooks.forEach(h -> h.accept(verdict));
    return true;
  }

  private Verdict withPossibleRuns(Verdict v) {
    return v instanceof Verdict.NotRun n && possiblyRunAttempts > 0
        ? new Verdict.MayHaveRun(n.code())
        : v;
  }
}
