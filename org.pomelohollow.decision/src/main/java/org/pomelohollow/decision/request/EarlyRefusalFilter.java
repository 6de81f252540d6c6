package org.pomelohollow.decision.request;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.admission.Pressures;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Verdict;

/**
 * Refuses requests that would be shed anyway, before they are charged to their account and before
 * any work is done for them.
 *
 * <p>A request is refused if every target of its service has lately cut off its priority. It is
 * refused with some probability if its route meets pressure, at its own target or at one that its
 * calls lead to: the least important priority first, all entries alike. A small share always
 * passes, so that the end of the overload is noticed. Calls that a running request makes are never
 * refused here, since that would waste what has run.
 */
public final class EarlyRefusalFilter implements Filter, Controller {
  private static final double PROBE_SHARE = 0.02;
  private static final double GREATEST_REFUSED_SHARE = 0.96;

  /** Middle of the times after which refused callers come back; they are spread by half of it. */
  private static final long RETRY_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(1);

  private final Router router;
  private final Pressures pressures;
  private final RandomGenerator random;
  private List<Integer> ranks = List.of();

  /**
   * Creates a filter.
   *
   * @param router knows the cut-offs
   * @param pressures knows the pressure on routes
   * @param random chooses the requests that pass
   */
  public EarlyRefusalFilter(Router router, Pressures pressures, RandomGenerator random) {
    this.router = router;
    this.pressures = pressures;
    this.random = random;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Priority p = x.context().priority();
    Priority cutOff = router.cutOff(x.context().service(), nowNanos);
    boolean isCutOff = p.isLessImportantThan(cutOff) && random.nextDouble() >= PROBE_SHARE;
    if (isCutOff || (!x.isCall() && random.nextDouble() < refusedShare(x, p, nowNanos))) {
      long jitter = random.nextLong(RETRY_AFTER_MILLIS) - RETRY_AFTER_MILLIS / 2;
      x.refuse(new Verdict.NotRun(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS + jitter));
      return;
    }
    next.proceed(x, nowNanos);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigInForce c) {
      ranks = ranks(c.configuration().document());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("early refusal").line("ranks, the most important first", ranks).build();
  }

  private double refusedShare(Exchange x, Priority p, long nowNanos) {
    double pressure = pressures.of(x.context().route(), nowNanos);
    long lessImportant = ranks.stream().filter(r -> r > p.rank()).count();
    return Math.max(0, Math.min(GREATEST_REFUSED_SHARE, pressure - lessImportant));
  }

  /** Returns the ranks that callers' requests can have. */
  private static List<Integer> ranks(Document d) {
    List<Integer> offsets =
        Stream.concat(Stream.of(0), d.accounts().values().stream().map(AccountEntry::priorityOffset))
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
