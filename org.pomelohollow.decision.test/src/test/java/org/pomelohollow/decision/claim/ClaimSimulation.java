package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Deterministic simulation of daemons that claim requests, with a simulated network, log and clock.
 * The fields that are not private set the faults and record what happened.
 */
final class ClaimSimulation {
  static final long NANOS_PER_MS = 1_000_000L;
  static final ClaimSettings SETTINGS =
      new ClaimSettings(20_000 * NANOS_PER_MS, 1_000 * NANOS_PER_MS, 10_000, 1 << 20, 1 << 10);
  private static final ServiceId SERVICE = new ServiceId("s");

  /** Time after which a daemon that has not been seen is dropped from the roster. */
  private static final long LIVENESS_TIMEOUT_NANOS = 2_000 * NANOS_PER_MS;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();

  /** Runs of requests at the targets, by idempotency key. */
  final Map<String, List<Run>> runs = new HashMap<>();

  final List<ClaimResult> results = new ArrayList<>();
  final List<StoredEntry> log = new ArrayList<>();
  boolean logUp = true;

  /** Number of newest log entries that can still be read. */
  int retainedEntries = Integer.MAX_VALUE;

  /** Probability that a message is lost or duplicated, and that it is late; each from 0 to 1. */
  double faultRate;

  /** Hosts that reach each other but not the other hosts. */
  Set<Integer> partitionedHosts = Set.of();

  /** Whether the partitioned hosts do not reach the log either. */
  boolean partitionedFromLog;

  int messagesSent;
  long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final PriorityQueue<ScheduledAction> schedule =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atNanos)
              .thenComparingLong(ScheduledAction::sequence));
  private long nextSequence;
  private int incarnations;

  ClaimSimulation(RandomGenerator random, int hosts) {
    this.random = random;
    for (int h = 0; h < hosts; h++) {
      start(h);
    }
  }

  Daemon start(int host) {
    Daemon d = new Daemon(host, new MemberId("h" + host, ++incarnations));
    daemons.add(d);
    every(50, d, () -> d.handle(new Event.Tick()));
    every(200, d, d::readLog);
    every(300, d, d::updateRoster);
    return d;
  }

  List<Daemon> live() {
    return daemons.stream().filter(d -> d.alive).toList();
  }

  /** Schedules an action after a delay, in milliseconds. */
  void after(long ms, Runnable action) {
    schedule.add(new ScheduledAction(nowNanos + ms * NANOS_PER_MS, nextSequence++, action));
  }

  /** Advances the clock by a time in milliseconds, and runs the actions that become due. */
  void run(long ms) {
    long endNanos = nowNanos + ms * NANOS_PER_MS;
    while (!schedule.isEmpty() && schedule.peek().atNanos <= endNanos) {
      ScheduledAction next = schedule.remove();
      nowNanos = next.atNanos;
      next.action.run();
    }
    nowNanos = endNanos;
  }

  /**
   * Sends or resends a request to a daemon. If the claim is granted, the target runs the request,
   * unless it ends as {@link ClaimState#RELEASED}.
   *
   * @param d the daemon
   * @param key idempotency key
   * @param end state in which a granted request ends
   * @param runMs time from the grant to the end, in milliseconds
   */
  void send(Daemon d, String key, ClaimState end, long runMs) {
    RequestContext c = context(key, "r" + nextSequence++);
    long claimedNanos = nowNanos;
    d.controller.claim(
        c,
        ClaimKey.of(c).orElseThrow(),
        a -> {
          results.add(a);
          if (a instanceof ClaimResult.Granted g) {
            if (end != ClaimState.RELEASED) {
              runs.computeIfAbsent(key, k -> new ArrayList<>())
                  .add(new Run(claimedNanos, nowNanos));
            }
            after(runMs, () -> d.reportOutcome(g.id(), end));
          }
        },
        nowNanos);
  }

  /** Returns a key, with its runs, of which a run started in the window of the claim before it. */
  Optional<String> findRepeatedRun() {
    for (Map.Entry<String, List<Run>> e : runs.entrySet()) {
      List<Run> r = e.getValue();
      for (int i = 1; i < r.size(); i++) {
        if (r.get(i).startedNanos - r.get(i - 1).claimedNanos < SETTINGS.windowNanos()) {
          return Optional.of(e.getKey() + " " + r);
        }
      }
    }
    return Optional.empty();
  }

  private RequestContext context(String key, String requestId) {
    return new RequestContext(
        requestId,
        requestId,
        SERVICE,
        "route",
        Optional.empty(),
        Priority.HIGHEST,
        nowNanos + 60_000 * NANOS_PER_MS,
        false,
        Optional.of(key),
        1,
        0,
        0);
  }

  private boolean areConnected(int a, int b) {
    return partitionedHosts.contains(a) == partitionedHosts.contains(b);
  }

  /** Runs an action of a daemon periodically from a random time on, until the daemon stops. */
  private void every(long periodMs, Daemon d, Runnable action) {
    after(
        random.nextLong(periodMs) + 1,
        () -> {
          if (d.alive) {
            d.whenAwake(action);
            every(periodMs, d, action);
          }
        });
  }

  private void deliver(Daemon from, MemberId to, PeerMessage m) {
    messagesSent++;
    int copies = random.nextDouble() < faultRate ? 2 * random.nextInt(2) : 1;
    for (int i = 0; i < copies; i++) {
      long delayMs =
          random.nextDouble() < faultRate ? 1 + random.nextLong(3_000) : 1 + random.nextLong(4);
      after(
          delayMs,
          () ->
              daemons.stream()
                  .filter(d -> d.alive && d.id.equals(to) && areConnected(d.host, from.host))
                  .forEach(
                      d -> d.whenAwake(() -> d.handle(new Event.MessageReceived(from.id, m)))));
    }
  }

  record Run(long claimedNanos, long startedNanos) {}

  private record ScheduledAction(long atNanos, long sequence, Runnable action) {}

  /** One incarnation of a daemon. */
  final class Daemon {
    final int host;
    final MemberId id;
    final ClaimController controller;
    boolean alive = true;
    boolean leaving;
    long pausedUntilNanos;
    private long nextOffset;
    private final Map<MemberId, Long> lastSeenNanos = new HashMap<>();

    Daemon(int host, MemberId id) {
      this.host = host;
      this.id = id;
      this.controller = new ClaimController(id, SETTINGS, this::emit);
    }

    void handle(Event e) {
      controller.handle(e, nowNanos);
    }

    /** Runs an action now, or when the pause of the daemon ends; never if it has stopped. */
    void whenAwake(Runnable action) {
      if (!alive) {
        return;
      }
      if (pausedUntilNanos > nowNanos) {
        schedule.add(
            new ScheduledAction(pausedUntilNanos, nextSequence++, () -> whenAwake(action)));
      } else {
        action.run();
      }
    }

    void reportOutcome(ClaimId claim, ClaimState state) {
      whenAwake(() -> controller.reportOutcome(claim, state, Optional.empty(), nowNanos));
    }

    boolean reachesLog() {
      return logUp && !(partitionedFromLog && partitionedHosts.contains(host));
    }

    Member member() {
      ZoneId zone = new ZoneId("z" + host % 3);
      return new Member(id, new Endpoint("127.0.0.1", 1), zone, Optional.empty(), leaving);
    }

    private void emit(Effect e) {
      if (e instanceof Effect.Send s) {
        deliver(this, s.to(), s.message());
      } else if (e instanceof Effect.Append a && reachesLog()) {
        after(1 + random.nextLong(30), () -> append(a.entry()));
      }
    }

    private void append(LogEntry e) {
      if (reachesLog()) {
        log.add(new StoredEntry(log.size(), Optional.of(e)));
      }
    }

    private void readLog() {
      if (!reachesLog()) {
        return;
      }
      long oldest = Math.max(0, log.size() - (long) retainedEntries);
      List<StoredEntry> entries =
          new ArrayList<>(log.subList((int) Math.max(nextOffset, oldest), log.size()));
      long from = nextOffset;
      nextOffset = log.size();
      handle(new Event.LogRead(LogStream.CLAIMS, from, entries, oldest, log.size()));
    }

    /** Hands the controller a roster of the daemons that were seen recently. */
    private void updateRoster() {
      for (Daemon d : daemons) {
        if (d.alive && d.pausedUntilNanos <= nowNanos && areConnected(host, d.host)) {
          lastSeenNanos.put(d.id, nowNanos);
        }
      }
      lastSeenNanos.put(id, nowNanos);
      lastSeenNanos.values().removeIf(t -> nowNanos - t > LIVENESS_TIMEOUT_NANOS);
      Set<MemberId> replaced = new HashSet<>();
      lastSeenNanos
          .keySet()
          .forEach(a -> lastSeenNanos.keySet().stream().filter(a::replaces).forEach(replaced::add));
      List<Member> members =
          daemons.stream()
              .filter(d -> lastSeenNanos.containsKey(d.id) && !replaced.contains(d.id))
              .map(Daemon::member)
              .toList();
      handle(new Event.RosterChanged(Roster.of(id, members)));
    }
  }
}
