package org.pomelohollow.decision.fairness;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;

/**
 * Divides the requests that have to be refused at a service between its client accounts, so that
 * the capacity is shared max-min fairly over all entry daemons and within each priority.
 *
 * <p>Handles an account that asks for several times its usual demand while others compete for the
 * same capacity. Each entry daemon reports its demand to the service's home, which replies with the
 * demand of the whole fleet. Without a reply the caller of this class refuses all accounts alike.
 * In effect only for services whose load reports satisfy the rule.
 */
public final class AccountShares implements Controller {
  /** Time between two reports of an entry daemon, for fleets of up to 100 members. */
  static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Bounds the reports that a home receives to 200 a second. */
  private static final long INTERVAL_NANOS_PER_MEMBER = TimeUnit.MILLISECONDS.toNanos(5);

  /** Number of intervals without a reply after which summaries are not used. */
  private static final int VALID_INTERVALS = 4;

  /** Time after a load report for which the rule holds. */
  private static final long IN_EFFECT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time between two log lines on refused accounts. */
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final String PART = "shares";

  private final MemberId self;
  private final EffectSink effects;
  private final Predicate<TargetLoad> rule;
  private final ServiceHome homes = new ServiceHome();
  private final Map<ServiceId, Long> inEffectNanos = new HashMap<>();
  private final Map<ServiceId, EntryDemand> entries = new HashMap<>();
  private final Map<ServiceId, DemandTotals> totals = new HashMap<>();
  private final Map<AccountId, Integer> refusalsToLog = new HashMap<>();
  private Map<AccountId, AccountEntry> accounts = Map.of();
  private long refusedCount;
  private long loggedNanos = Long.MIN_VALUE;

  /**
   * Creates a controller without demand.
   *
   * @param self this daemon
   * @param effects receives messages to peers and log lines
   * @param rule whether a load report puts the shares of its service in effect
   */
  public AccountShares(MemberId self, EffectSink effects, Predicate<TargetLoad> rule) {
    this.self = self;
    this.effects = effects;
    this.rule = rule;
  }

  /**
   * Records a load report of a service.
   *
   * @param service service of the request that the report came with
   * @param load the report
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordLoad(ServiceId service, TargetLoad load, long nowNanos) {
    if (rule.test(load)) {
      inEffectNanos.put(service, nowNanos);
    }
  }

  /**
   * Returns whether the shares of a service are in effect.
   *
   * @param service the service
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public boolean isInEffect(ServiceId service, long nowNanos) {
    Long reported = inEffectNanos.get(service);
    return reported != null && nowNanos - reported <= IN_EFFECT_NANOS;
  }

  /**
   * Counts a request and divides what has to be refused.
   *
   * @param service service of the request, whose shares are in effect
   * @param account client account of the request
   * @param rank rank of its priority
   * @param shareOfAll share of all requests of the priority to refuse, from 0 to 1
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the share of the account's requests to refuse; {@code shareOfAll} itself without a
   *     recent summary
   */
  public double recordRequest(
      ServiceId service, AccountId account, int rank, double shareOfAll, long nowNanos) {
    EntryDemand e = entries.computeIfAbsent(service, s -> new EntryDemand(s, this::weight));
    e.count(account, rank);
    if (shareOfAll <= 0) {
      return 0;
    }
    e.recordPressure(nowNanos);
    return e.shareToRefuse(account, rank, shareOfAll, validNanos(), nowNanos).orElse(shareOfAll);
  }

  /**
   * Records that a request was refused because of its account's share, for logs and metrics.
   *
   * @param account client account of the request
   */
  public void recordRefusal(AccountId account) {
    refusedCount++;
    refusalsToLog.merge(account, 1, Integer::sum);
  }

  /** Returns the number of requests that were refused because of shares. */
  public long refusedCount() {
    return refusedCount;
  }

  /** Returns the number of services whose shares are in effect and that met pressure recently. */
  public long sharedServices(long nowNanos) {
    return entries.values().stream().filter(e -> e.isActive(nowNanos)).count();
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.MessageReceived m) {
      if (m.message() instanceof DemandReport r && isHome(r.service())) {
        summarize(r, nowNanos).ifPresent(s -> effects.emit(new Effect.Send(m.from(), s)));
      } else if (m.message() instanceof DemandSummary s) {
        onSummary(s, nowNanos);
      }
    } else if (event instanceof Event.RosterChanged c) {
      homes.setRoster(c.roster());
      totals.keySet().removeIf(s -> !isHome(s));
    } else if (event instanceof Event.ConfigActivated c) {
      accounts = c.configuration().document().accounts();
    } else if (event instanceof Event.ProcessResumed) {
      totals.clear();
      entries.values().forEach(EntryDemand::dropFleetDemand);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    entries.forEach(
        (s, e) ->
            b.line("in effect for " + s, isInEffect(s, nowNanos))
                .line("home of " + s, homes.of(s).map(MemberId::toString).orElse("unknown"))
                .line("demand of " + s, e));
    totals.forEach((s, t) -> b.line("home for " + s, t));
    return b.build();
  }

  private void tick(long nowNanos) {
    entries.keySet().removeIf(s -> !isInEffect(s, nowNanos));
    totals.values().removeIf(t -> t.isIdle(nowNanos));
    entries.forEach(
        (s, e) -> {
          e.nextReport(intervalNanos(), nowNanos).ifPresent(r -> report(r, nowNanos));
          e.fallbackChange(validNanos(), nowNanos).ifPresent(f -> logFallback(s, f));
        });
    logRefusals(nowNanos);
  }

  private void logRefusals(long nowNanos) {
    if (refusalsToLog.isEmpty()
        || (loggedNanos != Long.MIN_VALUE && nowNanos - loggedNanos < LOG_INTERVAL_NANOS)) {
      return;
    }
    loggedNanos = nowNanos;
    int sum = refusalsToLog.values().stream().mapToInt(Integer::intValue).sum();
    Map.Entry<AccountId, Integer> most =
        refusalsToLog.entrySet().stream()
            .max(Map.Entry.comparingByValue(Comparator.naturalOrder()))
            .orElseThrow();
    effects.emit(
        new Effect.LogLine(
            PART,
            false,
            String.format(
                "refused %d requests of %d accounts, most of %s: %d",
                sum, refusalsToLog.size(), most.getKey(), most.getValue())));
    refusalsToLog.clear();
  }

  private void report(DemandReport r, long nowNanos) {
    if (isHome(r.service())) {
      summarize(r, nowNanos).ifPresent(s -> onSummary(s, nowNanos));
    } else {
      homes.of(r.service()).ifPresent(h -> effects.emit(new Effect.Send(h, r)));
    }
  }

  private Optional<DemandSummary> summarize(DemandReport r, long nowNanos) {
    DemandTotals t = totals.computeIfAbsent(r.service(), s -> new DemandTotals(s, nowNanos));
    t.add(r, nowNanos);
    return t.isCollected(nowNanos) ? Optional.of(t.summary(r)) : Optional.empty();
  }

  private void onSummary(DemandSummary s, long nowNanos) {
    EntryDemand e = entries.get(s.service());
    if (e != null) {
      e.onSummary(s, nowNanos);
    }
  }

  private void logFallback(ServiceId s, boolean isFallback) {
    String text =
        isFallback
            ? "no demand of the fleet known for " + s + ", accounts are refused alike"
            : "demand of the fleet known again for " + s + ", or no longer needed";
    effects.emit(new Effect.LogLine(PART, false, text));
  }

  private boolean isHome(ServiceId s) {
    return homes.of(s).filter(self::equals).isPresent();
  }

  private double weight(AccountId a) {
    return Optional.ofNullable(accounts.get(a)).map(AccountEntry::weight).orElse(1.0);
  }

  private long intervalNanos() {
    return Math.max(MIN_INTERVAL_NANOS, INTERVAL_NANOS_PER_MEMBER * homes.memberCount());
  }

  private long validNanos() {
    return VALID_INTERVALS * intervalNanos();
  }
}
