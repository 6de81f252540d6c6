package org.pomelohollow.decision.request;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.admission.RoutePressures;
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
 */
public final class EarlyRefusalFilter implements Filter, Controller {
  /** Share of the requests below the cut-off that pass, to notice when targets admit them again. */
  private static final double PROBE_SHARE = 0.02;

  /** Highest share of requests refused for pressure: the others notice when it ends. */
  private static final double MAX_REFUSED_SHARE = 0.96;

  /** Mean retry delay given to refused callers; delays are spread by half of it either way. */
  private static final long MEAN_RETRY_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(1);

  private final Router router;
  private final RoutePressures pressures;
  private final RandomGenerator random;
  private List<Integer> ranks = List.of();

  /**
   * Creates a filter.
   *
   * @param router gives the least important priority that a service admits
   * @param pressures gives the reported pressure on routes
   * @param random source of random choices
   */
  public EarlyRefusalFilter(Router router, RoutePressures pressures, RandomGenerator random) {
    this.router = router;
    this.pressures = pressures;
    this.random = random;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Priority priority = x.context().priority();
    Priority cutOff = router.cutOff(x.context().service(), nowNanos);
    boolean isCutOff = priority.isLessImportantThan(cutOff) && random.nextDouble() >= PROBE_SHARE;
    if (isCutOff
        || (!x.isChildCall() && random.nextDouble() < shareToRefuse(x, priority, nowNanos))) {
      long jitterMillis = random.nextLong(MEAN_RETRY_AFTER_MILLIS) - MEAN_RETRY_AFTER_MILLIS / 2;
      x.refuse(new Verdict.NotRun(ErrorCode.OVERLOADED, MEAN_RETRY_AFTER_MILLIS + jitterMillis));
      return;
    }
    next.proceed(x, nowNanos);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigActivated c) {
      ranks = callerRanks(c.configuration().document());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("early refusal").line("ranks, the most important first", ranks).build();
  }

  private double shareToRefuse(Exchange x, Priority priority, long nowNanos) {
    double pressure = pressures.of(x.context().route(), nowNanos);
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
}
