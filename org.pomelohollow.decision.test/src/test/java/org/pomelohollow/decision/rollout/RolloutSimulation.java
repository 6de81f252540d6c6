package org.pomelohollow.decision.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.guard.TargetObserver.RunningRequest;
import org.pomelohollow.decision.routing.AttemptResult;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetLoad;

/**
 * Simulation of one service with old and new targets, entry daemons, links and the store, in steps
 * of 5 ms. Messages take 5 ms, the store 20 ms, and a lost member is noticed after 1 s.
 */
final class RolloutSimulation {
  static final String OLD = "v1";
  static final String NEW = "v2";
  private static final long STEP_MILLIS = 5;
  private static final long TICK_MILLIS = 50;
  private static final long MESSAGE_MILLIS = 5;
  private static final long STORE_MILLIS = 20;
  private static final long NOTICE_MILLIS = 1_000;
  private static final double[] ROUTE_SHARES = {0.5, 0.3, 0.2};
  private static final double[] ROUTE_MILLIS = {60, 150, 300};

  final SimulatedStore store = new SimulatedStore();
  final List<Sent> sent = new ArrayList<>();
  final List<Long> badResponses = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  long refused;

  /** Requests that ran at old targets when an order was written as completed. */
  int runningAtCompletion;

  private final Map<String, SimulatedHost> hosts = new LinkedHashMap<>();
  private final SplittableRandom random;
  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final double ratePerSecond;
  private BiPredicate<String, String> reachable = (a, b) -> true;
  private Optional<String> unheard = Optional.empty();
  private List<RolloutOrder> orders = List.of();
  private long nowMillis;
  private long actionCount;
  private long incarnations;
  private double due;
  private double usualRunning;

  RolloutSimulation(double ratePerSecond, long seed) {
    this.ratePerSecond = ratePerSecond;
    this.random = new SplittableRandom(seed);
  }

  /** Adds hosts with old targets, with new ones that start later, and without targets. */
  RolloutSimulation with(int old, int fresh, int others, long freshStartMillis, Behaviour b) {
    for (int i = 0; i < old; i++) {
      addHost(new SimulatedHost("old-" + i, Optional.of(OLD), Behaviour.GOOD));
    }
    for (int i = 0; i < fresh; i++) {
      SimulatedHost h = new SimulatedHost("new-" + i, Optional.of(NEW), b);
      h.startMillis = freshStartMillis;
      addHost(h);
    }
    for (int i = 0; i < others; i++) {
      addHost(new SimulatedHost("host-" + i, Optional.empty(), Behaviour.GOOD));
    }
    // By Little's law, with this request; the spread raises the mean of the times by 8 %.
    double meanMillis = 0;
    for (int i = 0; i < ROUTE_MILLIS.length; i++) {
      meanMillis += ROUTE_SHARES[i] * ROUTE_MILLIS[i] * 1.08;
    }
    usualRunning = 1 + ratePerSecond / old * meanMillis / 1e3;
    publishRosters();
    at(freshStartMillis, this::publishRosters);
    at(freshStartMillis + 1_000, this::publishRosters);
    return this;
  }

  SimulatedHost host(String name) {
    return hosts.get(name);
  }

  List<SimulatedHost> hosts() {
    return List.copyOf(hosts.values());
  }

  void order(String version, long durationMillis, String id) {
    setOrders(List.of(new RolloutOrder(SimulatedHost.SERVICE, version, durationMillis, id)));
  }

  void setOrders(List<RolloutOrder> all) {
    orders = all;
    hosts.values().forEach(h -> at(nowMillis + random.nextInt(300), () -> configure(h)));
  }

  /** Ends a daemon. */
  void killDaemon(String name) {
    SimulatedHost h = hosts.get(name);
    h.daemonUp = false;
    at(nowMillis + NOTICE_MILLIS, this::publishRosters);
  }

  /** Starts a daemon that was ended, without what it knew. */
  void restartDaemon(String name) {
    SimulatedHost h = hosts.get(name);
    h.daemonUp = true;
    h.running.clear();
    startDaemon(h);
    publishRosters();
    configure(h);
  }

  /** Ends targets: what runs there is lost. */
  void crashTargets(List<String> names) {
    names.forEach(
        n -> {
          hosts.get(n).targetUp = false;
          hosts.get(n).running.clear();
        });
    at(nowMillis + 100, this::publishRosters);
  }

  void setReachable(BiPredicate<String, String> p) {
    reachable = p;
    at(nowMillis + NOTICE_MILLIS, this::publishRosters);
  }

  /** Loses all messages to and from a daemon, which stays a live member. */
  void loseMessagesOf(String name) {
    unheard = Optional.of(name);
  }

  void at(long millis, Runnable task) {
    actions.add(new Action(Math.max(millis, nowMillis), actionCount++, task));
  }

  void runUntil(long endMillis) {
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      hosts.values().forEach(h -> h.setTime(nowMillis));
      while (!actions.isEmpty() && actions.peek().atMillis <= nowMillis) {
        actions.remove().task.run();
      }
      if (nowMillis % TICK_MILLIS == 0) {
        hosts.values().forEach(h -> deliver(h, new Event.Tick()));
      }
      for (due += ratePerSecond * STEP_MILLIS / 1e3; due >= 1; due--) {
        startRequest();
      }
    }
  }

  /** Returns the number of requests sent in a span, to targets that match. */
  long sent(long fromMillis, long toMillis, java.util.function.Predicate<Sent> p) {
    return sent.stream()
        .filter(s -> s.atMillis() >= fromMillis && s.atMillis() < toMillis)
        .filter(p)
        .count();
  }

  long nowMillis() {
    return nowMillis;
  }

  private void addHost(SimulatedHost h) {
    hosts.put(h.name, h);
    startDaemon(h);
    h.configure(orders, nowNanos());
  }

  private void startDaemon(SimulatedHost h) {
    h.startDaemon(++incarnations, e -> execute(h, h.id, e));
  }

  private void configure(SimulatedHost h) {
    if (h.daemonUp) {
      h.configure(orders, nowNanos());
    }
  }

  private void publishRosters() {
    for (SimulatedHost to : hosts.values()) {
      List<Member> members =
          hosts.values().stream()
              .filter(h -> h.daemonUp && isReachable(h, to))
              .map(SimulatedHost::member)
              .toList();
      if (to.daemonUp) {
        to.setRoster(members, nowNanos());
      }
    }
  }

  private boolean isReachable(SimulatedHost a, SimulatedHost b) {
    return a == b || reachable.test(a.name, b.name);
  }

  private void deliver(SimulatedHost h, Event e) {
    if (h.daemonUp) {
      h.handle(e, nowNanos());
    }
  }

  private void execute(SimulatedHost from, MemberId sender, Effect e) {
    if (e instanceof Effect.Send s) {
      at(nowMillis + MESSAGE_MILLIS, () -> send(from, sender, s));
    } else if (e instanceof Effect.ReadRolloutStatus) {
      at(nowMillis + STORE_MILLIS, () -> reply(from, sender, store.read()));
    } else if (e instanceof Effect.WriteRolloutStatus w) {
      at(nowMillis + STORE_MILLIS, () -> reply(from, sender, write(w.status())));
    } else if (e instanceof Effect.LogLine l) {
      log.add(nowMillis + " " + from.name + " " + l.prefix() + ": " + l.message());
    }
  }

  /** Writes to the store, where the platform stops the old targets at once on completion. */
  private Optional<List<RolloutStatus>> write(RolloutStatus status) {
    int before = store.written(status.orderId()).size();
    Optional<List<RolloutStatus>> all = store.write(status, nowMillis);
    boolean written = store.written(status.orderId()).size() > before;
    if (written && status.state() == RolloutState.COMPLETED) {
      runningAtCompletion =
          hosts.values().stream()
              .filter(h -> h.version.filter(OLD::equals).isPresent())
              .mapToInt(h -> h.running.size())
              .sum();
    }
    return all;
  }

  private void send(SimulatedHost from, MemberId sender, Effect.Send s) {
    SimulatedHost to = hosts.get(s.to().host());
    boolean lost = unheard.filter(n -> n.equals(from.name) || n.equals(to.name)).isPresent();
    if (!lost && to.id.equals(s.to()) && isReachable(from, to)) {
      deliver(to, new Event.MessageReceived(sender, s.message()));
    }
  }

  private void reply(SimulatedHost to, MemberId asker, Optional<List<RolloutStatus>> all) {
    if (to.id.equals(asker)) {
      all.ifPresent(a -> deliver(to, new Event.RolloutStatusRead(a)));
    }
  }

  private void startRequest() {
    List<SimulatedHost> up = hosts.values().stream().filter(h -> h.daemonUp).toList();
    if (up.isEmpty()) {
      refused++;
      return;
    }
    SimulatedHost entry = up.get(random.nextInt(up.size()));
    Optional<MemberId> to = entry.router.choose(SimulatedHost.SERVICE, Set.of(), nowNanos());
    if (to.isEmpty()) {
      refused++;
      return;
    }
    SimulatedHost target = hosts.get(to.get().host());
    boolean accepts =
        target.daemonUp
            && target.target().isPresent()
            && isReachable(entry, target)
            && target.running.size() < SimulatedHost.SLOTS;
    if (!accepts) {
      refused++;
      return;
    }
    runRequest(entry, target);
  }

  private void runRequest(SimulatedHost entry, SimulatedHost target) {
    int route = chooseRoute();
    Running r = new Running("route-" + route, nowNanos());
    target.running.add(r);
    target.rollouts.targetObserver().started(r);
    entry.router.attemptStarted(target.id, nowNanos());
    MemberId targetId = target.id;
    sent.add(new Sent(nowMillis, entry.name, target.name, target.version.orElseThrow()));
    int running = target.running.size();
    Behaviour.Response response =
        target.behaviour.respond(
            new Behaviour.Request(r.route, nowMillis - target.startMillis, running, usualRunning),
            random);
    double factor = response == Behaviour.Response.SLOW ? 8 : target.isCold() ? 2 : 1;
    double spread = Math.exp(0.4 * gaussian());
    long millis = (long) (ROUTE_MILLIS[route] * spread * factor * target.slowness);
    long startedNanos = nowNanos();
    at(
        nowMillis + millis,
        () -> {
          boolean complete = target.running.remove(r) && target.id.equals(targetId);
          if (complete) {
            target
                .rollouts
                .targetObserver()
                .ended(r, Completion.RESPONDED, response == Behaviour.Response.FAILURE, nowNanos());
            if (response != Behaviour.Response.GOOD) {
              badResponses.add(nowMillis);
            }
          }
          TargetLoad load =
              new TargetLoad(SimulatedHost.SLOTS, target.running.size(), 0, Priority.NONE_SHED);
          entry.router.attemptEnded(
              targetId,
              new AttemptResult(
                  complete ? AttemptResult.Outcome.RESPONDED : AttemptResult.Outcome.LOST,
                  nowNanos() - startedNanos,
                  Optional.of(load)),
              nowNanos());
        });
  }

  private int chooseRoute() {
    double u = random.nextDouble();
    int i = 0;
    while (i < ROUTE_SHARES.length - 1 && u >= ROUTE_SHARES[i]) {
      u -= ROUTE_SHARES[i++];
    }
    return i;
  }

  private double gaussian() {
    double sum = 0;
    for (int i = 0; i < 12; i++) {
      sum += random.nextDouble();
    }
    return sum - 6;
  }

  private long nowNanos() {
    return TimeUnit.MILLISECONDS.toNanos(nowMillis);
  }

  /** A request that was sent to a target. */
  record Sent(long atMillis, String entry, String host, String version) {
    boolean isNew() {
      return version.equals(NEW);
    }
  }

  private record Action(long atMillis, long sequence, Runnable task) implements Comparable<Action> {
    @Override
    public int compareTo(Action o) {
      int byTime = Long.compare(atMillis, o.atMillis);
      return byTime != 0 ? byTime : Long.compare(sequence, o.sequence);
    }
  }

  /** A request at a target. */
  private static final class Running implements RunningRequest {
    private final String route;
    private final long startedNanos;

    Running(String route, long startedNanos) {
      this.route = route;
      this.startedNanos = startedNanos;
    }

    @Override
    public String route() {
      return route;
    }

    @Override
    public long selfTimeNanos(long nowNanos) {
      return nowNanos - startedNanos;
    }
  }
}
