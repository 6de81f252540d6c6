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

/**
 * Deterministic simulation of quota controllers with a network, a log and a drifting clock for each
 * daemon. The random generator decides all delays and faults, so a seed repeats a run.
 */
final class QuotaSimulation {
  static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TICK_INTERVAL_NANOS = 50 * NANOS_PER_MILLI;
  private static final long POLL_INTERVAL_NANOS = 200 * NANOS_PER_MILLI;
  private static final long ROSTER_LAG_NANOS = 2_000 * NANOS_PER_MILLI;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();
  final SimulatedLog log = new SimulatedLog();
  double lossProbability;
  double duplicationProbability;
  long minLatencyNanos = NANOS_PER_MILLI / 2;
  long maxExtraLatencyNanos;
  BiPredicate<Daemon, Daemon> linkCut = (a, b) -> false;
  BiConsumer<MemberId, Object> trafficListener = (m, o) -> {};
  long nowNanos;
  private final PriorityQueue<Action> queue = new PriorityQueue<>();
  private final QuotaSettings settings;
  private long actionCount;
  private long lastIncarnation;
  private long configVersion;
  private Map<AccountId, AccountEntry> accounts = Map.of();

  QuotaSimulation(RandomGenerator random, QuotaSettings settings) {
    this.random = random;
    this.settings = settings;
  }

  Daemon start(String host, String zone) {
    Daemon d = new Daemon(new MemberId(host, ++lastIncarnation), new ZoneId(zone));
    daemons.add(d);
    d.configure(accounts, configVersion);
    d.tick();
    d.poll();
    return d;
  }

  /**
   * Publishes accounts; each daemon applies them after a random delay of its own.
   *
   * @param maxDelayNanos bound of the delays, in nanoseconds; 0 applies them at once
   */
  void publishAccounts(Collection<AccountEntry> entries, long maxDelayNanos) {
    Map<AccountId, AccountEntry> published = new TreeMap<>();
    entries.forEach(e -> published.put(e.id(), e));
    accounts = published;
    long newVersion = ++configVersion;
    for (Daemon d : daemons) {
      long delayNanos = maxDelayNanos == 0 ? 0 : random.nextLong(maxDelayNanos);
      schedule(delayNanos, () -> d.run(() -> d.configure(published, newVersion)));
    }
  }

  /** Schedules an action; actions due at the same time run in the order of scheduling. */
  void schedule(long delayNanos, Runnable action) {
    queue.add(new Action(nowNanos + delayNanos, ++actionCount, action));
  }

  /** Runs all actions that are due up to the given time, in order. */
  void runUntil(long endNanos) {
    while (!queue.isEmpty() && queue.peek().timeNanos <= endNanos) {
      Action a = queue.remove();
      nowNanos = a.timeNanos;
      a.run.run();
    }
    nowNanos = endNanos;
  }

  List<Daemon> alive() {
    return daemons.stream().filter(d -> !d.crashed).toList();
  }

  private void transmit(Daemon from, Effect.Send s) {
    trafficListener.accept(from.id, s.message());
    int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossProbability) {
        long extraNanos = maxExtraLatencyNanos == 0 ? 0 : random.nextLong(maxExtraLatencyNanos);
        schedule(
            minLatencyNanos + random.nextLong(minLatencyNanos) + extraNanos,
            () -> deliver(from, s));
      }
    }
  }

  private void deliver(Daemon from, Effect.Send s) {
    for (Daemon d : daemons) {
      if (d.id.equals(s.to()) && !d.crashed && !linkCut.test(from, d)) {
        d.handle(new Event.MessageReceived(from.id, s.message()));
      }
    }
  }

  private record Action(long timeNanos, long order, Runnable run) implements Comparable<Action> {
    @Override
    public int compareTo(Action o) {
      return timeNanos != o.timeNanos
          ? Long.compare(timeNanos, o.timeNanos)
          : Long.compare(order, o.order);
    }
  }

  /** The quota stream, with outages, lost replies, slow appends, stale reads and retention. */
  final class SimulatedLog {
    final List<StoredEntry> entries = new ArrayList<>();
    final List<Long> appendTimesNanos = new ArrayList<>();
    boolean down;
    final Set<Daemon> unreachableDaemons = new HashSet<>();
    double lostReplyProbability;
    double staleReadProbability;
    long meanAppendNanos = 3 * NANOS_PER_MILLI;
    long retentionNanos = Long.MAX_VALUE;
    int appendCount;

    private boolean isDownFor(Daemon d) {
      return down || unreachableDaemons.contains(d);
    }

    private void append(Daemon d, Effect.Append a) {
      appendCount++;
      boolean written = !isDownFor(d) && random.nextDouble() >= lostReplyProbability / 2;
      boolean reported = !isDownFor(d) && random.nextDouble() >= lostReplyProbability;
      long delayNanos = 1 + random.nextLong(2 * meanAppendNanos);
      if (written) {
        trafficListener.accept(d.id, a.entry());
        schedule(
            delayNanos,
            () -> {
              entries.add(new StoredEntry(entries.size(), Optional.of(a.entry())));
              appendTimesNanos.add(nowNanos);
            });
      }
      Event.AppendOutcome outcome =
          !reported
              ? Event.AppendOutcome.UNKNOWN
              : written ? Event.AppendOutcome.APPENDED : Event.AppendOutcome.FAILED;
      schedule(2 * delayNanos, () -> d.handle(new Event.AppendCompleted(a.appendId(), outcome)));
    }

    private void read(Daemon d) {
      if (isDownFor(d)) {
        d.handle(new Event.LogReadFailed(LogStream.QUOTA));
        return;
      }
      int oldest = 0;
      while (oldest < entries.size() && appendTimesNanos.get(oldest) < nowNanos - retentionNanos) {
        oldest++;
      }
      int end = entries.size();
      if (random.nextDouble() < staleReadProbability) {
        end = Math.max(oldest, end - random.nextInt(6));
        d.nextOffset = Math.max(0, d.nextOffset - random.nextInt(3));
      }
      int from = Math.max(oldest, Math.min(d.nextOffset, end));
      d.nextOffset = end;
      List<StoredEntry> batch = entries.subList(from, Math.max(from, end));
      d.handle(new Event.LogRead(LogStream.QUOTA, from, batch, oldest, end));
    }
  }

  /** A daemon: a controller, its clock that may run fast or slow, and the process around it. */
  final class Daemon implements EffectSink {
    final MemberId id;
    final ZoneId zone;
    final QuotaController controller;
    boolean crashed;
    private boolean paused;
    private int nextOffset;
    private long configuredVersion;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    private final long startNanos = nowNanos;
    private final long clockOffsetNanos = random.nextLong(1L << 50);
    private final double clockRate =
        1 + (random.nextDouble() * 2 - 1) * QuotaSettings.MAX_CLOCK_DRIFT;
    private Roster roster = null;
    private final Map<MemberId, Long> lastSeenNanos = new TreeMap<>();

    /** Whether this daemon sees another as reachable, in addition to the state of their link. */
    Function<Daemon, Boolean> sees = d -> true;

    Daemon(MemberId id, ZoneId zone) {
      this.id = id;
      this.zone = zone;
      this.controller = new QuotaController(id, settings, this);
    }

    /** Returns the time of this daemon's clock, in nanoseconds. */
    long localNanos() {
      return clockOffsetNanos + (long) ((nowNanos - startNanos) * clockRate);
    }

    void acquire(AccountId account, Consumer<QuotaResult> callback) {
      run(() -> controller.acquire(account, localNanos(), callback));
    }

    void handle(Event e) {
      run(() -> controller.handle(e, localNanos()));
    }

    void crash() {
      crashed = true;
    }

    /** Stops the process for a time; whatever happens to it meanwhile is handled at the end. */
    void pause(long nanos) {
      if (!paused && !crashed) {
        paused = true;
        schedule(nanos, this::resume);
      }
    }

    @Override
    public void emit(Effect e) {
      if (e instanceof Effect.Send s) {
        transmit(this, s);
      } else if (e instanceof Effect.Append a) {
        log.append(this, a);
      } else if (e instanceof Effect.SeekStream r) {
        nextOffset = (int) r.offset();
      }
    }

    private void run(Runnable r) {
      if (paused) {
        deferred.add(r);
      } else if (!crashed) {
        r.run();
      }
    }

    private void resume() {
      paused = false;
      while (!deferred.isEmpty() && !crashed) {
        deferred.remove().run();
      }
    }

    private void configure(Map<AccountId, AccountEntry> published, long newVersion) {
      if (newVersion < configuredVersion) {
        return;
      }
      configuredVersion = newVersion;
      Document doc =
          new Document("d", List.of(), Map.of(), published, List.of(), Map.of(), List.of());
      controller.handle(
          new Event.ConfigActivated(new VersionedDocument(newVersion, "c", "", doc)), localNanos());
    }

    private void tick() {
      if (crashed) {
        return;
      }
      handle(new Event.Tick());
      schedule(TICK_INTERVAL_NANOS, this::tick);
    }

    private void poll() {
      if (!crashed) {
        run(this::updateRoster);
        run(() -> log.read(this));
        schedule(POLL_INTERVAL_NANOS + random.nextLong(POLL_INTERVAL_NANOS / 4), this::poll);
      }
    }

    /** Updates the roster from the daemons seen lately, as failure detection would. */
    private void updateRoster() {
      for (Daemon d : daemons) {
        if (!d.crashed && !d.paused && !linkCut.test(d, this) && sees.apply(d)) {
          lastSeenNanos.put(d.id, nowNanos);
        }
      }
      lastSeenNanos.values().removeIf(t -> nowNanos - t > ROSTER_LAG_NANOS);
      List<Member> live =
          daemons.stream()
              .filter(d -> lastSeenNanos.containsKey(d.id))
              .map(Daemon::member)
              .toList();
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

    /** Shuts the daemon down gracefully; it ends after the given time, in nanoseconds. */
    void stop(long exitNanos) {
      if (!crashed) {
        stopping = true;
        handle(new Event.ShutdownRequested());
        schedule(exitNanos, this::crash);
      }
    }
  }
}
