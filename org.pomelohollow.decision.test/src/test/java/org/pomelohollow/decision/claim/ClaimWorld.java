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

/** Daemons that claim requests over a network, a log and a clock made by hand. */
final class ClaimWorld {
  static final long MS = 1_000_000L;
  static final ClaimSettings SETTINGS =
      new ClaimSettings(20_000 * MS, 1_000 * MS, 10_000, 1 << 20, 1 << 10);
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final long LIVENESS = 2_000 * MS;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();
  final Map<String, List<Run>> runs = new HashMap<>();
  final List<ClaimAnswer> answers = new ArrayList<>();
  final List<StoredEntry> log = new ArrayList<>();
  boolean logUp = true;
  int retained = Integer.MAX_VALUE;
  double loss;
  Set<Integer> cutOff = Set.of();
  boolean logCutOff;
  int messages;
  long now = TimeUnit.HOURS.toNanos(1);
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private long order;
  private int incarnations;

  ClaimWorld(RandomGenerator random, int hosts) {
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
    every(300, d, d::lookAround);
    return d;
  }

  List<Daemon> live() {
    return daemons.stream().filter(d -> d.alive).toList();
  }

  void after(long ms, Runnable action) {
    due.add(new Due(now + ms * MS, order++, action));
  }

  void run(long ms) {
    long end = now + ms * MS;
    while (!due.isEmpty() && due.peek().at <= end) {
      Due d = due.remove();
      now = d.at;
      d.action.run();
    }
    now = end;
  }

  /** Sends or resends a request to a daemon; the stand-in for its target sees it if it may run. */
  void send(Daemon d, String key, ClaimState end, long runMs) {
    RequestContext c = context(key, "r" + order++);
    long started = now;
    d.controller.claim(
        c,
        ClaimKey.of(c).orElseThrow(),
        a -> {
          answers.add(a);
          if (a instanceof ClaimAnswer.Granted g) {
            if (end != ClaimState.RELEASED) {
              runs.computeIfAbsent(key, k -> new ArrayList<>()).add(new Run(started, now));
            }
            after(runMs, () -> d.end(g.id(), end));
          }
        },
        now);
  }

  /** Returns the first run of a key that began within the window of an earlier claim of it. */
  Optional<String> doubled() {
    for (Map.Entry<String, List<Run>> e : runs.entrySet()) {
      List<Run> r = e.getValue();
      for (int i = 1; i < r.size(); i++) {
        if (r.get(i).ranNanos - r.get(i - 1).claimedNanos < SETTINGS.windowNanos()) {
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
        now + 60_000 * MS,
        false,
        Optional.of(key),
        1,
        0,
        0);
  }

  private boolean connected(int a, int b) {
    return cutOff.contains(a) == cutOff.contains(b);
  }

  private void every(long ms, Daemon d, Runnable action) {
    after(
        random.nextLong(ms) + 1,
        () -> {
          if (d.alive) {
            d.whenAwake(action);
            every(ms, d, action);
          }
        });
  }

  private void deliver(Daemon from, MemberId to, PeerMessage m) {
    messages++;
    int copies = random.nextDouble() < loss ? 2 * random.nextInt(2) : 1;
    for (int i = 0; i < copies; i++) {
      long delay = random.nextDouble() < loss ? 1 + random.nextLong(3_000) : 1 + random.nextLong(4);
      after(
          delay,
          () ->
              daemons.stream()
                  .filter(d -> d.alive && d.id.equals(to) && connected(d.host, from.host))
                  .forEach(
                      d -> d.whenAwake(() -> d.handle(new Event.MessageReceived(from.id, m)))));
    }
  }

  record Run(long claimedNanos, long ranNanos) {}

  private record Due(long at, long order, Runnable action) {}

  /** One run of a daemon. */
  final class Daemon {
    final int host;
    final MemberId id;
    final ClaimController controller;
    boolean alive = true;
    boolean leaving;
    long pausedUntil;
    private long offset;
    private final Map<MemberId, Long> seen = new HashMap<>();

    Daemon(int host, MemberId id) {
      this.host = host;
      this.id = id;
      this.controller = new ClaimController(id, SETTINGS, this::emit);
    }

    void handle(Event e) {
      controller.handle(e, now);
    }

    void whenAwake(Runnable action) {
      if (!alive) {
        return;
      }
      if (pausedUntil > now) {
        due.add(new Due(pausedUntil, order++, () -> whenAwake(action)));
      } else {
        action.run();
      }
    }

    void end(ClaimId claim, ClaimState state) {
      whenAwake(() -> controller.ended(claim, state, Optional.empty(), now));
    }

    boolean reachesLog() {
      return logUp && !(logCutOff && cutOff.contains(host));
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
      long oldest = Math.max(0, log.size() - (long) retained);
      List<StoredEntry> entries =
          new ArrayList<>(log.subList((int) Math.max(offset, oldest), log.size()));
      long from = offset;
      offset = log.size();
      handle(new Event.LogRead(LogStream.CLAIMS, from, entries, oldest, log.size()));
    }

    private void lookAround() {
      for (Daemon d : daemons) {
        if (d.alive && d.pausedUntil <= now && connected(host, d.host)) {
          seen.put(d.id, now);
        }
      }
      seen.put(id, now);
      seen.values().removeIf(t -> now - t > LIVENESS);
      Set<MemberId> replaced = new HashSet<>();
      seen.keySet().forEach(a -> seen.keySet().stream().filter(a::replaces).forEach(replaced::add));
      List<Member> m =
          daemons.stream()
              .filter(d -> seen.containsKey(d.id) && !replaced.contains(d.id))
              .map(Daemon::member)
              .toList();
      handle(new Event.RosterChanged(Roster.of(id, m)));
    }
  }
}
