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
import java.util.function.Function;
import java.util.function.Supplier;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.admission.LimitAlgorithm;
import org.pomelohollow.decision.admission.ThroughputLimit;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.routing.ZonePolicy;
import org.pomelohollow.decision.routing.ZoneSpill;
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
 * Simulates open-loop load on the routing and admission of daemons, with simulated targets, in one
 * thread and without a network. Messages take no time, but rosters change only at ticks and load
 * reports come only with attempts, so that daemons act on old ones.
 */
public final class LoadSimulation {
  static final long STEP_NANOS = 500_000;
  private static final long TICK_NANOS = 50_000_000;
  private static final int PRIORITIES = 3;

  final SplittableRandom random;
  final List<SimulatedDaemon> daemons = new ArrayList<>();
  final Map<String, String> childServices = new HashMap<>();
  final Map<String, Double> childWorkMillis = new HashMap<>();
  int maxAttempts = 3;
  boolean earlyRefusalEnabled = true;
  LoadReporting loadReporting = LoadReporting.NONE;
  final SimulatedZoneLinks links = new SimulatedZoneLinks();
  Function<SplittableRandom, ZonePolicy> zonePolicyFactory = r -> new ZoneSpill(r, e -> {});
  private final Map<String, ZoneId> entryZones = new HashMap<>();
  private int zoneCount = 3;
  private final Map<String, ServiceEntry> services = new LinkedHashMap<>();
  private final Map<String, ZoneEntry> zones = new LinkedHashMap<>();
  private final Map<String, AccountEntry> accounts = new LinkedHashMap<>();
  private final Map<TrafficSource, SourceStats> statsBySource = new LinkedHashMap<>();
  private final TreeMap<Long, List<Runnable>> scheduledActions = new TreeMap<>();
  private final Supplier<LimitAlgorithm> limitFactory;
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final long startNanos = nowNanos;
  private long version;
  private double usedNanos;
  private double wastedNanos;

  public LoadSimulation(long seed) {
    this(seed, ThroughputLimit::new);
  }

  public LoadSimulation(long seed, Supplier<LimitAlgorithm> limitFactory) {
    this.random = new SplittableRandom(seed);
    this.limitFactory = limitFactory;
    setZones(zoneCount);
  }

  /** Sets the number of availability zones, over which services that are added later spread. */
  public LoadSimulation setZones(int count) {
    zoneCount = count;
    zones.clear();
    for (int i = 0; i < count; i++) {
      setZone("z" + i, true);
    }
    return this;
  }

  /** Sets the policy by which requests leave zones, for services that are added later. */
  public LoadSimulation setZonePolicy(Function<SplittableRandom, ZonePolicy> factory) {
    zonePolicyFactory = factory;
    return this;
  }

  /** Makes the requests of a source enter by the daemons of one zone. */
  public LoadSimulation setEntryZone(TrafficSource s, String zone) {
    entryZones.put(s.name(), new ZoneId(zone));
    return this;
  }

  /** Returns the links between zones. */
  public SimulatedZoneLinks links() {
    return links;
  }

  /** Adds a service with warm targets, each with a daemon of its own. */
  public LoadSimulation addService(
      String name,
      int targets,
      int announcedSlots,
      int trueSlots,
      int coldSlots,
      double overloadPenalty) {
    ServiceId id = new ServiceId(name);
    services.put(name, new ServiceEntry(id, announcedSlots, announcedSlots * 4, coldSlots));
    for (int i = 0; i < targets; i++) {
      ZoneId zone = new ZoneId("z" + i % zoneCount);
      daemons.add(
          new SimulatedDaemon(
              this, name + i, zone, id, announcedSlots, trueSlots, overloadPenalty, limitFactory));
    }
    return this;
  }

  /** Makes requests of a route call another service when their own work is done. */
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

  /** Makes targets report their load in their responses. */
  public LoadSimulation withLoadReporting(LoadReporting r) {
    loadReporting = r;
    return this;
  }

  /** Schedules an action at a time in seconds since the start. */
  public LoadSimulation schedule(double second, Runnable action) {
    long atNanos = startNanos + (long) (second * 1e9);
    scheduledActions.computeIfAbsent(atNanos, k -> new ArrayList<>()).add(action);
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

  /** Returns the share of the targets' work that was spent on requests without a whole response. */
  public double wastedShare() {
    return wastedNanos / Math.max(1, usedNanos);
  }

  /** Activates a configuration with the current zones, accounts and services at all daemons. */
  public void publishConfiguration() {
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

  /** Runs the simulation with the given sources and returns the statistics of each source. */
  public Map<TrafficSource, SourceStats> run(int seconds, TrafficSource... sources) {
    for (TrafficSource s : sources) {
      statsBySource.put(s, new SourceStats(seconds));
    }
    publishConfiguration();
    daemons.forEach(SimulatedDaemon::announce);
    long endNanos = nowNanos + TimeUnit.SECONDS.toNanos(seconds);
    long nextTickNanos = nowNanos;
    while (nowNanos < endNanos) {
      if (nowNanos >= nextTickNanos) {
        tick();
        nextTickNanos += TICK_NANOS;
      }
      while (!scheduledActions.isEmpty() && scheduledActions.firstKey() <= nowNanos) {
        scheduledActions.pollFirstEntry().getValue().forEach(Runnable::run);
      }
      for (TrafficSource s : sources) {
        sendNewRequests(s);
      }
      nowNanos += STEP_NANOS;
      daemons.forEach(d -> d.target().advance(STEP_NANOS));
    }
    return statsBySource;
  }

  /** Draws from the exponential distribution with a given mean. */
  double exponential(double mean) {
    return -mean * Math.log(1 - random.nextDouble());
  }

  void recordWork(double workNanos, boolean wasted) {
    usedNanos += workNanos;
    wastedNanos += wasted ? workNanos : 0;
  }

  void sendRequest(TrafficSource s, int resends) {
    SimulatedDaemon entry = chooseEntry(s);
    long startedNanos = nowNanos;
    double workNanos = exponential(s.meanWorkMillis()) * 1e6;
    new SimulatedCall(this, entry, s, Optional.empty(), workNanos)
        .start(
            ok -> {
              if (ok) {
                statsBySource
                    .get(s)
                    .recordServed(elapsedSeconds(), (nowNanos - startedNanos) / 1e6);
              } else if (resends > 0) {
                schedule(elapsedSeconds() + 0.001, () -> sendRequest(s, resends - 1));
              }
            });
  }

  private SimulatedDaemon chooseEntry(TrafficSource s) {
    ZoneId zone = entryZones.get(s.name());
    List<SimulatedDaemon> entries =
        zone == null ? daemons : daemons.stream().filter(d -> d.zone().equals(zone)).toList();
    return entries.get(random.nextInt(entries.size()));
  }

  /** Sends the requests of one step, as a Poisson process. */
  private void sendNewRequests(TrafficSource s) {
    double expectedRequests =
        s.requestsPerSecond().applyAsDouble(elapsedSeconds()) * STEP_NANOS / 1e9;
    for (double p = exponential(1); p < expectedRequests; p += exponential(1)) {
      statsBySource.get(s).recordOffered(elapsedSeconds());
      sendRequest(s, s.resends());
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
