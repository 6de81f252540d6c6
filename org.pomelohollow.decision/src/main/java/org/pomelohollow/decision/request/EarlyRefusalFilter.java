package org.pomelohollow.decision.request;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.admission.RoutePressures;
import org.pomelohollow.decision.fairness.AccountShares;
import org.pomelohollow.decision.fairness.RetryDelays;
import org.pomelohollow.decision.fairness.ReturnedRequests;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Verdict;

/**
 * Refuses requests that would probably be shed later, before they are charged to their client
 * account and before any work is done for them.
 *
 * <p>A request is refused if every target of its service has recently reported that it sheds the
 * request's priority. It is also refused with some probability if pressure is reported for its
 * route, either by its own target or by one that its calls lead to: the least important priority
 * first, at all entry daemons alike. A small share always passes, so that the end of the overload
 * is noticed. Calls of running requests are not refused because of pressure, since that would waste
 * the work already done.
 *
 * <p>On services whose account shares are in effect, the share to refuse is divided between client
 * accounts by {@link AccountShares}, and refused callers get a delay that they obey.
 */
public final class EarlyRefusalFilter implements Filter, Controller {
  /** Share of the requests below the cut-off that pass, to notice when targets admit them again. */
  private static final double PROBE_SHARE = 0.02;

  /** Highest share of requests refused for pressure: the others notice when it ends. */
  private static final double MAX_REFUSED_SHARE = 0.96;

  /** Mean retry delay given to refused callers; delays are spread by half of it either way. */
  private static final long MEAN_RETRY_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(1);

  private final Dependencies deps;
  private final ReturnedRequests returned = new ReturnedRequests();
  private final RetryDelays delays;
  private List<Integer> ranks = List.of();

  /**
   * Creates a filter.
   *
   * @param dependencies parts of the daemon that the filter uses
   */
  public EarlyRefusalFilter(Dependencies dependencies) {
    this.deps = dependencies;
    this.delays = new RetryDelays(dependencies.random());
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    boolean isShared =
        !x.isChildCall()
            && x.account().isPresent()
            && deps.shares().isInEffect(x.context().service(), nowNanos);
    Priority priority = x.context().priority();
    double share = shareToRefuse(x, priority, nowNanos);
    if (isShared) {
      boolean isReturned = returned.take(x.account().get(), x.context().route(), nowNanos);
      share = sharedPart(x, share, isReturned, nowNanos);
      x.mapRefusal(v -> withObeyedDelay(x, v, isReturned));
    }
    Priority cutOff = deps.router().cutOff(x.context().service(), nowNanos);
    boolean isCutOff =
        priority.isLessImportantThan(cutOff) && deps.random().nextDouble() >= PROBE_SHARE;
    if (isCutOff || (!x.isChildCall() && deps.random().nextDouble() < share)) {
      if (isShared) {
        deps.shares().recordRefusal(x.account().get());
      }
      long jitterMillis =
          deps.random().nextLong(MEAN_RETRY_AFTER_MILLIS) - MEAN_RETRY_AFTER_MILLIS / 2;
      x.refuse(new Verdict.NotRun(ErrorCode.OVERLOADED, MEAN_RETRY_AFTER_MILLIS + jitterMillis));
      return;
    }
    next.proceed(x, nowNanos);
  }

  /** Returns the share to refuse of the requests of an account, new or returned. */
  private double sharedPart(Exchange x, double share, boolean isReturned, long nowNanos) {
    double ofAccount =
        deps.shares()
            .recordRequest(
                x.context().service(),
                x.account().orElseThrow(),
                x.context().priority().rank(),
                share,
                nowNanos);
    return Math.min(MAX_REFUSED_SHARE, returned.shareToRefuse(ofAccount, isReturned));
  }

  /**
   * Replaces the retry delay of a refusal for load and notes when the caller will return. Callers
   * return once, so one that has returned is not expected again.
   */
  private Verdict withObeyedDelay(Exchange x, Verdict v, boolean isReturned) {
    if (!(v instanceof Verdict.NotRun n) || n.retryAfterMillis() <= 0 || !isForLoad(n.code())) {
      return v;
    }
    long nowNanos = deps.clock().getAsLong();
    long delayMillis =
        delays.delayMillis(
            x.context().remainingNanos(nowNanos), x.route().latencyObjectiveMillis());
    long returnNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    x.account()
        .filter(a -> !isReturned)
        .ifPresent(a -> returned.expect(a, x.context().route(), returnNanos));
    return new Verdict.NotRun(n.code(), delayMillis);
  }

  private static boolean isForLoad(ErrorCode c) {
    return c == ErrorCode.OVERLOADED
        || c == ErrorCode.TARGET_COLD
        || c == ErrorCode.TARGET_RATE_LIMITED;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigActivated c) {
      ranks = callerRanks(c.configuration().document());
    } else if (event instanceof Event.Tick) {
      returned.tick(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("early refusal")
        .line("ranks, the most important first", ranks)
        .line("expected returns", returned.size())
        .build();
  }

  private double shareToRefuse(Exchange x, Priority priority, long nowNanos) {
    double pressure = deps.pressures().of(x.context().route(), nowNanos);
    long lessImportantRanks = ranks.stream().filter(r -> r > priority.rank()).count();
    return Math.max(0, Math.min(MAX_REFUSED_SHARE, pressure - lessImportantRanks));
  }

  /** Returns the priority ranks that callers' requests can have, the most important first. */
  private static List<Integer> callerRanks(Document d) {
    List<Integer> offsets =
        Stream.concat(
                Stream.of(0), d.accounts().values().stream().map(AccountEntry::priorityOffset))
            .distinct()
            .toList();
    return d.routes().stream()
        .filter(r -> !r.open())
        .flatMap(r -> offsets.stream().map(o -> r.priority().rank() + o))
        .distinct()
        .sorted()
        .toList();
  }

  /**
   * Parts of the daemon that the filter uses.
   *
   * @param router gives the least important priority that a service admits
   * @param pressures gives the reported pressure on routes
   * @param shares divides what is refused between client accounts
   * @param random source of random choices
   * @param clock monotonic time, in nanoseconds
   */
  public record Dependencies(
      Router router,
      RoutePressures pressures,
      AccountShares shares,
      RandomGenerator random,
      LongSupplier clock) {
    /** Checks the fields. */
    public Dependencies {
      Objects.requireNonNull(router, "router");
      Objects.requireNonNull(pressures, "pressures");
      Objects.requireNonNull(shares, "shares");
      Objects.requireNonNull(random, "random");
      Objects.requireNonNull(clock, "clock");
    }
  }
}
