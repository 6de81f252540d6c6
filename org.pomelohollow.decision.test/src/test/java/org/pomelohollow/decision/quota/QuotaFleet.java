package org.pomelohollow.decision.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

/** Quota controllers on a hand-written network, log and clock, all driven by one seed. */
final class QuotaFleet {
  static final long MILLI = 1_000_000L;
  private static final long TICK = 50 * MILLI;
  private static final long POLL = 200 * MILLI;
  private static final long ROSTER_LAG = 2_000 * MILLI;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();
  final LogFake log = new LogFake();
  double loss;
  double duplication;
  long networkNanos = MILLI / 2;
  long slowestNanos;
  BiPredicate<Daemon, Daemon> cut = (a, b) -> false;
  BiConsumer<MemberId, Object> traffic = (m, o) -> {};
  long now;
  private final PriorityQueue<Action> queue = new PriorityQueue<>();
  private final QuotaTerms terms;
  private long actions;
  private long incarnations;
  private long version;
  private Map<AccountId, AccountEntry> accounts = Map.of();

  QuotaFleet(RandomGenerator random, QuotaTerms terms) {
    this.random = random;
    this.terms = terms;
  }

  Daemon start(String host, String zone) {
    Daemon d = new Daemon(new MemberId(host, ++incarnations), new ZoneId(zone));
    daemons.add(d);
    d.configure(accounts, version);
    d.tick();
    d.poll();
    return d;
  }

  /** Publishes rates; each daemon takes them after a delay of its own. */
  void publish(Collection<AccountEntry> entries, long slowest) {
    Map<AccountId, AccountEntry> m = new TreeMap<>();
    entries.forEach(e -> m.put(e.id(), e));
    accounts = m;
    long v = ++version;
    for (Daemon d : daemons) {
      long delay = slowest == 0 ? 0 : random.nextLong(slowest);
      after(delay, () -> d.run(() -> d.configure(m, v)));
    }
  }

  void after(long delay, Runnable r) {
    queue.add(new Action(now + delay, ++actions, r));
  }

  void runUntil(long time) {
    while (!queue.isEmpty() && queue.peek().time <= time) {
      Action a = queue.remove();
      now = a.time;
      a.run.run();
    }
    now = time;
  }

  List<Daemon> alive() {
    return daemons.stream().filter(d -> !d.dead).toList();
  }

  private void transmit(Daemon from, Effect.Send s) {
    traffic.accept(from.id, s.message());
    int copies = random.nextDouble() < duplication ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= loss) {
        long extra = slowestNanos == 0 ? 0 : random.nextLong(slowestNanos);
        after(networkNanos + random.nextLong(networkNanos) + extra, () -> deliver(from, s));
      }
    }
  }

  private void deliver(Daemon from, Effect.Send s) {
    for (Daemon d : daemons) {
      if (d.id.equals(s.to()) && !d.dead && !cut.test(from, d)) {
        d.handle(new Event.MessageReceived(from.id, s.message()));
      }
    }
  }

  private record Action(long time, long order, Runnable run) implements Comparable<Action> {
    @Override
    public int compareTo(Action o) {
      return time != o.time ? Long.compare(time, o.time) : Long.compare(order, o.order);
    }
  }

  /** One stream with outages, lost answers, late or old reads and retention. */
  final class LogFake {
    final List<StoredEntry> entries = new ArrayList<>();
    final List<Long> times = new ArrayList<>();
    boolean down;
    final Set<Daemon> unreachableFor = new HashSet<>();
    double lostAnswers;
    double staleReads;
    long appendNanos = 3 * MILLI;
    long retentionNanos = Long.MAX_VALUE;
    int appends;

    private boolean isDownFor(Daemon d) {
      return down || unreachableFor.contains(d);
    }

    private void append(Daemon d, Effect.Append a) {
      appends++;
      boolean written = !isDownFor(d) && random.nextDouble() >= lostAnswers / 2;
      boolean told = !isDownFor(d) && random.nextDouble() >= lostAnswers;
      long delay = 1 + random.nextLong(2 * appendNanos);
      if (written) {
        traffic.accept(d.id, a.entry());
        after(
            delay,
            () -> {
              entries.add(new StoredEntry(entries.size(), Optional.of(a.entry())));
              times.add(now);
            });
      }
      Event.AppendOutcome o =
          !told
              ? Event.AppendOutcome.UNKNOWN
              : written ? Event.AppendOutcome.APPENDED : Event.AppendOutcome.FAILED;
      after(2 * delay, () -> d.handle(new Event.AppendCompleted(a.appendId(), o)));
    }

    private void read(Daemon d) {
      if (isDownFor(d)) {
        d.handle(new Event.LogReadFailed(LogStream.QUOTA));
        return;
      }
      int oldest = 0;
      while (oldest < entries.size() && times.get(oldest) < now - retentionNanos) {
        oldest++;
      }
      int end = entries.size();
      if (random.nextDouble() < staleReads) {
        end = Math.max(oldest, end - random.nextInt(6));
        d.cursor = Math.max(0, d.cursor - random.nextInt(3));
      }
      int from = Math.max(oldest, Math.min(d.cursor, end));
      d.cursor = end;
      List<StoredEntry> part = entries.subList(from, Math.max(from, end));
      d.handle(new Event.LogRead(LogStream.QUOTA, from, part, oldest, end));
    }
  }

  /** A controller with its clock, which may run fast or slow, and the process around it. */
  final class Daemon implements EffectSink {
    final MemberId id;
    final ZoneId zone;
    final QuotaController controller;
    boolean dead;
    private boolean paused;
    private int cursor;
    private long known;
    private final Deque<Runnable> held = new ArrayDeque<>();
    private final long startNanos = now;
    private final long clockOffset = random.nextLong(1L << 50);
    private final double clockRate = 1 + (random.nextDouble() * 2 - 1) * QuotaTerms.MAX_DRIFT;
    private Roster roster = null;
    private final Map<MemberId, Long> heardNanos = new TreeMap<>();

    /** What the daemon believes of other members; they see it reachable if this returns true. */
    Function<Daemon, Boolean> sees = d -> true;

    Daemon(MemberId id, ZoneId zone) {
      this.id = id;
      this.zone = zone;
      this.controller = new QuotaController(id, terms, this);
    }

    long localNanos() {
      return clockOffset + (long) ((now - startNanos) * clockRate);
    }

    void acquire(AccountId account, Consumer<QuotaAnswer> answer) {
      run(() -> controller.acquire(account, localNanos(), answer));
    }

    void handle(Event e) {
      run(() -> controller.handle(e, localNanos()));
    }

    void crash() {
      dead = true;
    }

    void pause(long nanos) {
      if (!paused && !dead) {
        paused = true;
        after(nanos, this::resume);
      }
    }

    @Override
    public void emit(Effect e) {
      if (e instanceof Effect.Send s) {
        transmit(this, s);
      } else if (e instanceof Effect.Append a) {
        log.append(this, a);
      } else if (e instanceof Effect.SeekStream r) {
        cursor = (int) r.offset();
      }
    }

    private void run(Runnable r) {
      if (paused) {
        held.add(r);
      } else if (!dead) {
        r.run();
      }
    }

    private void resume() {
      paused = false;
      while (!held.isEmpty() && !dead) {
        held.remove().run();
      }
    }

    private void configure(Map<AccountId, AccountEntry> m, long newVersion) {
      if (newVersion < known) {
        return;
      }
      known = newVersion;
      Document doc = new Document("d", List.of(), Map.of(), m, List.of(), Map.of(), List.of());
      controller.handle(
          new Event.ConfigActivated(new VersionedDocument(newVersion, "c", "", doc)), localNanos());
    }

    private void tick() {
      if (dead) {
        return;
      }
      handle(new Event.Tick());
      after(TICK, this::tick);
    }

    private void poll() {
      if (!dead) {
        run(this::look);
        run(() -> log.read(this));
        after(POLL + random.nextLong(POLL / 4), this::poll);
      }
    }

    private void look() {
      for (Daemon d : daemons) {
        if (!d.dead && !d.paused && !cut.test(d, this) && sees.apply(d)) {
          heardNanos.put(d.id, now);
        }
      }
      heardNanos.values().removeIf(t -> now - t > ROSTER_LAG);
      List<Member> live =
          daemons.stream().filter(d -> heardNanos.containsKey(d.id)).map(Daemon::member).toList();
      Roster r = Roster.of(id, live);
      if (!r.equals(roster)) {
        roster = r;
        controller.handle(new Event.RosterChanged(r), localNanos());
      }
    }

    private Member member() {
      return new Member(id, new Endpoint("127.0.0.1", 1), zone, Optional.empty(), stopping);
    }

    private boolean stopping;

    void stop(long exitNanos) {
      if (!dead) {
        stopping = true;
        handle(new Event.ShutdownRequested());
        after(exitNanos, this::crash);
      }
    }
  }
}
