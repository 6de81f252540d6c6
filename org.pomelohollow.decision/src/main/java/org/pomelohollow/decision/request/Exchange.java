package org.pomelohollow.decision.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.Verdict;

/** A request at its entry daemon, from its arrival to its end. Confined to one thread. */
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
  private Optional<Verdict> end = Optional.empty();
  private int unsettledAttempts;

  /**
   * Creates an exchange.
   *
   * @param head the request
   * @param arrivedNanos when it arrived, in nanoseconds of the monotonic clock
   * @param listener hears what is decided
   */
  public Exchange(RequestHead head, long arrivedNanos, ExchangeListener listener) {
    this.head = Objects.requireNonNull(head, "head");
    this.arrivedNanos = arrivedNanos;
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the request as it came. */
  public RequestHead head() {
    return head;
  }

  /** Returns when the request arrived, in nanoseconds of the monotonic clock. */
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

  /** Returns the name of the matched route, for logs. */
  public Optional<String> routeName() {
    return route.map(RouteEntry::name);
  }

  /** Returns the name of the service, for logs. */
  public Optional<String> serviceName() {
    return service.map(ServiceId::value);
  }

  void setRoute(RouteEntry r, ServiceId s) {
    route = Optional.of(r);
    service = Optional.of(s);
  }

  /** Returns the priority of the route, lowered by the rank of the account. */
  Priority priority() {
    return new Priority(Math.min(route().priority().rank() + rankOffset, Priority.MAX_COUNT - 1));
  }

  /**
   * Returns whether this is a call of a running request: its target names that request, or it comes
   * without a key on an open route, as targets' calls do where they name none.
   */
  public boolean isChildCall() {
    return head.parent().isPresent() || (route().open() && head.apiKey().isEmpty());
  }

  /** Returns the authenticated account, empty on open routes. */
  public Optional<AccountId> account() {
    return account;
  }

  void setAccount(AccountId a) {
    account = Optional.of(a);
  }

  void setRankOffset(int ranks) {
    rankOffset = ranks;
  }

  /**
   * Returns the context for the next hops.
   *
   * @throws java.util.NoSuchElementException before {@link DeadlineFilter} has run
   */
  public RequestContext context() {
    return context.orElseThrow();
  }

  /**
   * Replaces the context.
   *
   * @param c the new context
   */
  public void setContext(RequestContext c) {
    context = Optional.of(c);
  }

  /** Returns whether the exchange has ended. */
  public boolean hasEnded() {
    return end.isPresent();
  }

  /**
   * Adds a hook that is called once when the exchange ends, at once if it has.
   *
   * @param hook takes the final verdict
   */
  public void onEnd(Consumer<Verdict> hook) {
    if (end.isPresent()) {
      hook.accept(end.get());
    } else {
      endHooks.add(hook);
    }
  }

  /** Notes that an attempt was handed on; until it is settled the request may have run. */
  public void attemptStarted() {
    unsettledAttempts++;
  }

  /** Notes that an attempt ended and certainly did not run. */
  public void attemptNotRun() {
    unsettledAttempts--;
  }

  /**
   * Ends the exchange with a refusal or failure, unless it has ended. A refusal as not run becomes
   * one as may have run if any attempt of the request may have.
   *
   * @param verdict what the caller is told
   */
  public void refuse(Verdict verdict) {
    Verdict v = truthOf(verdict);
    if (finish(v)) {
      listener.refused(v);
    }
  }

  /**
   * Ends the exchange with a refusal that gives no time for another try.
   *
   * @param code why it is refused
   */
  public void refuse(ErrorCode code) {
    refuse(new Verdict.NotRun(code));
  }

  /**
   * Ends the exchange because its answer went to the caller, or the caller left.
   *
   * @param verdict what is known of the request
   * @return false if it had ended before
   */
  public boolean finish(Verdict verdict) {
    if (end.isPresent()) {
      return false;
    }
    end = Optional.of(verdict);
    endHooks.forEach(h -> h.accept(verdict));
    return true;
  }

  private Verdict truthOf(Verdict v) {
    return v instanceof Verdict.NotRun n && unsettledAttempts > 0
        ? new Verdict.MayHaveRun(n.code())
        : v;
  }
}
