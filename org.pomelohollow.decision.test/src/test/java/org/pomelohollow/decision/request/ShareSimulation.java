package org.pomelohollow.decision.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.PathPattern;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.WeightedService;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.ZoneId;

/**
 * Plays open-loop load of several accounts on the entries and targets of a fleet, in one thread and
 * without a network. Callers come in at random entries. A refused caller comes back once, after its
 * retry delay or a third of the time it has left, whichever is first.
 */
final class ShareSimulation {
  static final ServiceId SERVICE = new ServiceId("s");
  static final ZoneId ZONE = new ZoneId("z");
  static final int DAEMONS = 30;
  static final int TARGETS = 10;
  static final int SLOTS = 20;
  static final double HELD_MILLIS = 100;

  /** Requests per second that the targets can run. */
  static final double CAPACITY = TARGETS * SLOTS * 0.95 / HELD_MILLIS * 1_000;

  static final long TIMEOUT_MILLIS = 5_000;
  static final long LINK_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  final SplittableRandom random;
  final Predicate<TargetLoad> rule;
  final List<ShareDaemon> daemons = new ArrayList<>();
  final Set<MemberId> stopped = new HashSet<>();
  BiPredicate<MemberId, MemberId> reaches = (a, b) -> true;
  boolean sameEntry = true;
  boolean dropsMessages;
  long messages;
  final Map<String, Integer> messageCounts = new TreeMap<>();
  final List<String> logLines = new ArrayList<>();
  private final Map<String, RouteEntry> routes = new TreeMap<>();
  private final Map<String, ShareResult> results = new TreeMap<>();
  private final PriorityQueue<Action> queue = new PriorityQueue<>();
  private final long startNanos = TimeUnit.HOURS.toNanos(1);
  private long nowNanos = startNanos;
  private long sequence;

  ShareSimulation(long seed, Predicate<TargetLoad> rule) {
    this.random = new SplittableRandom(seed);
    this.rule = rule;
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new ShareDaemon(this, "h" + i, i < TARGETS));
    }
  }

  /** Adds a route of the service; returns this simulation. */
  ShareSimulation addRoute(String name, int rank, long objectiveMillis) {
    routes.put(
        name,
        new RouteEntry(
            name,
            Optional.empty(),
            List.of(new WeightedService(SERVICE, 1)),
            Set.of("GET"),
            PathPattern.ofPrefix("/" + name + "/"),
            new Priority(rank),
            true,
            false,
            TIMEOUT_MILLIS,
            false,
            1,
            objectiveMillis));
    return this;
  }

  /** Adds the load of an account, in requests per second at a time in seconds. */
  ShareSimulation addLoad(String account, String route, DoubleUnaryOperator rate) {
    results.computeIfAbsent(account, a -> new ShareResult());
    scheduleNext(account, route, rate);
    return this;
  }

  double seconds() {
    return (nowNanos - startNanos) / 1e9;
  }

  long now() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable task) {
    queue.add(new Action(nowNanos + delayNanos, sequence++, task));
  }

  void at(double second, Runnable task) {
    queue.add(new Action(startNanos + (long) (second * 1e9), sequence++, task));
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  /** Runs the load, and its callers' second attempts, and returns what each account got. */
  Map<String, ShareResult> run(double seconds) {
    publish();
    publishRosters();
    tick();
    long end = startNanos + (long) (seconds * 1e9);
    while (!queue.isEmpty() && queue.peek().atNanos <= end) {
      Action a = queue.remove();
      nowNanos = a.atNanos;
      a.task.run();
    }
    return results;
  }

  /** Gives each daemon a roster of the daemons that run and that it reaches. */
  void publishRosters() {
    for (ShareDaemon d : daemons) {
      List<Member> members =
          daemons.stream()
              .filter(o -> !stopped.contains(o.id()))
              .filter(o -> o == d || reaches.test(d.id(), o.id()))
              .map(ShareDaemon::member)
              .collect(Collectors.toList());
      d.handle(new Event.RosterChanged(Roster.of(d.id(), members)));
    }
  }

  ShareDaemon daemon(MemberId id) {
    return daemons.stream().filter(d -> d.id().equals(id)).findFirst().orElseThrow();
  }

  boolean isLinked(MemberId a, MemberId b) {
    return !stopped.contains(a) && !stopped.contains(b) && (a.equals(b) || reaches.test(a, b));
  }

  void emit(MemberId from, Effect e) {
    if (e instanceof Effect.Send s) {
      messages++;
      messageCounts.merge(s.message().getClass().getSimpleName(), 1, Integer::sum);
      if (!dropsMessages && isLinked(from, s.to())) {
        after(
            LINK_NANOS, () -> daemon(s.to()).handle(new Event.MessageReceived(from, s.message())));
      }
    } else if (e instanceof Effect.LogLine l) {
      logLines.add(l.prefix() + ": " + l.message());
    }
  }

  private void scheduleNext(String account, String route, DoubleUnaryOperator rate) {
    // Thinning: draws at the highest rate of the play, and drops the surplus.
    double highest = 3 * CAPACITY;
    after(
        (long) exponential(1e9 / highest),
        () -> {
          if (random.nextDouble() * highest < rate.applyAsDouble(seconds())) {
            new ShareCaller(this, account, routes.get(route), results.get(account)).start();
          }
          scheduleNext(account, route, rate);
        });
  }

  private void tick() {
    for (ShareDaemon d : daemons) {
      if (!stopped.contains(d.id())) {
        d.handle(new Event.Tick());
      }
    }
    after(TICK_NANOS, this::tick);
  }

  private void publish() {
    Map<AccountId, AccountEntry> accounts =
        results.keySet().stream()
            .map(AccountId::new)
            .collect(Collectors.toMap(a -> a, a -> new AccountEntry(a, 1e6, 1e6, 1)));
    Document d =
        new Document(
            "d",
            List.of("high", "normal", "low"),
            Map.of(ZONE, new ZoneEntry(ZONE, "r", true)),
            accounts,
            List.of(),
            Map.of(SERVICE, new ServiceEntry(SERVICE, SLOTS, SLOTS * 4, SLOTS)),
            List.copyOf(routes.values()));
    daemons.forEach(x -> x.handle(new Event.ConfigActivated(new VersionedDocument(1, "c", "", d))));
  }

  private record Action(long atNanos, long order, Runnable task) implements Comparable<Action> {
    @Override
    public int compareTo(Action o) {
      int byTime = Long.compare(atNanos, o.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, o.order);
    }
  }
}
