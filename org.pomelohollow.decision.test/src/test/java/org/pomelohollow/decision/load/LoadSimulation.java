package org.pomelohollow.decision.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.LimitAlgorithm;
import org.pomelohollow.decision.admission.ThroughputLimit;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.ServiceEntry;
import org.pomelohollow.document.ZoneEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Open-loop load on daemons with model targets, in one thread and without a network: messages take
 * no time, but rosters and load reports are as old as the daemons make them.
 */
public final class LoadSimulation {
  static final long STEP_NANOS = 500_000;
  private static final long TICK_NANOS = 50_000_000;
  private static final int ZONES = 3;
  private static final int PRIORITIES = 3;

  final SplittableRandom random;
  final List<SimulatedDaemon> daemons = new ArrayList<>();
  final Map<String, String> childServices = new HashMap<>();
  final Map<String, Double> childWorkMillis = new HashMap<>();
  int maxAttempts = 3;
  boolean earlyRefusalEnabled = true;
  private final Map<String, ServiceEntry> services = new LinkedHashMap<>();
  private final Map<String, ZoneEntry> zones = new LinkedHashMap<>();
  private final Map<String, AccountEntry> accounts = new LinkedHashMap<>();
  private final Map<TrafficSource, SourceStats> tallies = new LinkedHashMap<>();
  private final TreeMap<Long, List<Runnable>> agenda = new TreeMap<>();
  private final Supplier<LimitAlgorithm> limits;
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final long startNanos = nowNanos;
  private long version;
  private double usedNanos;
  private double wastedNanos;

  public LoadSimulation(long seed) {
    this(seed, ThroughputLimit::new);
  }

  public LoadSimulation(long seed, Supplier<LimitAlgorithm> limits) {
    this.random = new SplittableRandom(seed);
    this.limits = limits;
    for (int i = 0; i < ZONES; i++) {
      setZone("z" + i, true);
    }
  }

  /** Adds a service with warm targets, one daemon each. */
  public LoadSimulation addService(
      String name, int targets, int announced, int trueSlots, int coldSlots, double penalty) {
    ServiceId id = new ServiceId(name);
    services.put(name, new ServiceEntry(id, announced, announced * 4, coldSlots));
    for (int i = 0; i < targets; i++) {
      ZoneId zone = new ZoneId("z" + i % ZONES);
      daemons.add(
          new SimulatedDaemon(
              this, name + i, zone, id, announced, trueSlots, penalty, limits.get()));
    }
    return this;
  }

  /** Makes requests of a route call another service once their own work is done. */
  public LoadSimulation addChildCall(String route, String service, double workMillis) {
    childServices.put(route, service);
    childWorkMillis.put(route, workMillis);
    return this;
  }

  public LoadSimulation addAccount(String name, double weight) {
    accounts.put(name, new AccountEntry(new AccountId(name), 1e6, 1e6, weight));
    return this;
  }

  public LoadSimulation setZone(String name, boolean inService) {
    zones.put(name, new ZoneEntry(new ZoneId(name), "default", inService));
    return this;
  }

  public LoadSimulation withoutEarlyRefusal() {
    earlyRefusalEnabled = false;
    return this;
  }

  /** Runs an action at a time. */
  public LoadSimulation schedule(double second, Runnable action) {
    long nanos = startNanos + (long) (second * 1e9);
    agenda.computeIfAbsent(nanos, k -> new ArrayList<>()).add(action);
    return this;
  }

  public List<SimulatedDaemon> daemons() {
    return daemons;
  }

  public long now() {
    return nowNanos;
  }

  public double elapsedSeconds() {
    return (nowNanos - startNanos) / 1e9;
  }

  /** Returns the share of the targets' time that went into requests without a whole answer. */
  public double wastedShare() {
    return wastedNanos / Math.max(1, usedNanos);
  }

  /** Puts the present zones in force everywhere. */
  public void publish() {
    Map<ZoneId, ZoneEntry> z = new HashMap<>();
    zones.values().forEach(e -> z.put(e.id(), e));
    Map<AccountId, AccountEntry> a = new HashMap<>();
    accounts.values().forEach(e -> a.put(e.id(), e));
    Map<ServiceId, ServiceEntry> s = new HashMap<>();
    services.values().forEach(e -> s.put(e.id(), e));
    List<String> names = List.of("high", "normal", "low").subList(0, PRIORITIES);
    Document d = new Document("model", names, z, a, List.of(), s, List.of());
    Event e = new Event.ConfigActivated(new VersionedDocument(++version, "c" + version, "", d));
    daemons.forEach(x -> x.handle(e));
  }

  /** Runs for a number of seconds. */
  public Map<TrafficSource, SourceStats> run(int seconds, TrafficSource... sources) {
    for (TrafficSource s : sources) {
      tallies.put(s, new SourceStats(seconds));
    }
    publish();
    daemons.forEach(SimulatedDaemon::announce);
    long end = nowNanos + TimeUnit.SECONDS.toNanos(seconds);
    long nextTick = nowNanos;
    while (nowNanos < end) {
      if (nowNanos >= nextTick) {
        tick();
        nextTick += TICK_NANOS;
      }
      while (!agenda.isEmpty() && agenda.firstKey() <= nowNanos) {
        agenda.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      for (TrafficSource s : sources) {
        arrive(s);
      }
      nowNanos += STEP_NANOS;
      daemons.forEach(d -> d.target().advance(STEP_NANOS));
    }
    return tallies;
  }

  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  void recordWork(double nanos, boolean wasted) {
    usedNanos += nanos;
    wastedNanos += wasted ? nanos : 0;
  }

  void send(TrafficSource s, int resends) {
    SimulatedDaemon entry = daemons.get(random.nextInt(daemons.size()));
    long arrived = nowNanos;
    double work = exponential(s.meanWorkMillis()) * 1e6;
    new SimulatedCall(this, entry, s, Optional.empty(), work)
        .start(
            ok -> {
              if (ok) {
                tallies.get(s).recordServed(elapsedSeconds(), (nowNanos - arrived) / 1e6);
              } else if (resends > 0) {
                schedule(elapsedSeconds() + 0.001, () -> send(s, resends - 1));
              }
            });
  }

  private void arrive(TrafficSource s) {
    double left = s.requestsPerSecond().applyAsDouble(elapsedSeconds()) * STEP_NANOS / 1e9;
    for (double p = exponential(1); p < left; p += exponential(1)) {
      tallies.get(s).recordOffered(elapsedSeconds());
      send(s, s.resends());
    }
  }

  private void tick() {
    List<Member> members = new ArrayList<>();
    daemons.forEach(d -> d.member().ifPresent(members::add));
    for (SimulatedDaemon d : daemons) {
      d.handle(new Event.RosterChanged(Roster.of(d.id(), members)));
      d.handle(new Event.Tick());
    }
  }
}
