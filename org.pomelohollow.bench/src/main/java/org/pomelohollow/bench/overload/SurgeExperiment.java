package org.pomelohollow.bench.overload;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pomelohollow.bench.BenchFleet;
import org.pomelohollow.bench.load.Caller;
import org.pomelohollow.bench.load.LoadResult;
import org.pomelohollow.bench.load.Outcome;
import org.pomelohollow.daemon.Daemon;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.standin.target.TargetCounts;
import org.pomelohollow.standin.target.TargetOptions;
import org.pomelohollow.standin.target.TargetStandIn;

/** Applies a load of three times the capacity to the daemons and to two baselines. */
public final class SurgeExperiment {
  /** Time after which callers give up a request. */
  private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(1);

  /** Share of the goodput before the surge at which the service counts as recovered. */
  private static final double RECOVERED_SHARE = 0.95;

  private final Preset preset;
  private final PrintStream out;

  /**
   * Creates an experiment.
   *
   * @param preset service and targets
   * @param out receives one table row for each mode
   */
  public SurgeExperiment(Preset preset, PrintStream out) {
    this.preset = preset;
    this.out = out;
  }

  /**
   * Runs every mode, one after the other.
   *
   * @return the results in the order of {@link Mode}
   * @throws InterruptedException if interrupted
   */
  public List<ModeResult> run() throws InterruptedException {
    List<ModeResult> results = new ArrayList<>();
    for (Mode m : Mode.values()) {
      ModeResult r = run(m);
      results.add(r);
      print(r);
    }
    return results;
  }

  private ModeResult run(Mode mode) throws InterruptedException {
    try (BenchFleet fleet = new BenchFleet();
        Caller caller = new Caller(CALLER_TIMEOUT)) {
      for (int i = 0; i < preset.targets(); i++) {
        int seed = i;
        fleet.add("host-" + i, preset.zone(i), d -> options(d, seed));
      }
      fleet.publish(document());
      if (mode == Mode.PRODUCT) {
        List<Endpoint> entries = fleet.daemons().stream().map(Daemon::callerAddress).toList();
        awaitAllTargets(fleet, caller, entries);
        return measure(mode, fleet, caller, entries);
      }
      List<Endpoint> targets = fleet.targets().stream().map(TargetStandIn::address).toList();
      try (BaselineProxy entry = BaselineProxy.start(mode, targets, preset.slots())) {
        return measure(mode, fleet, caller, List.of(entry.address()));
      }
    }
  }

  /** Sends requests until every daemon serves and every target has completed one. */
  private void awaitAllTargets(BenchFleet fleet, Caller caller, List<Endpoint> entries) {
    Map<String, String> headers = Map.of("Authorization", "Bearer " + apiKey(1));
    for (Endpoint e : entries) {
      BenchFleet.await(
          "a request served through every daemon",
          () ->
              caller
                  .send(
                      e,
                      RequestKind.NORMAL.method(),
                      RequestKind.NORMAL.path(preset.service()),
                      headers)
                  .onErrorReturn(new Outcome(0, false))
                  .block()
                  .isServed());
    }
    BenchFleet.await(
        "a request completed by every target",
        () ->
            fleet.targets().stream()
                .allMatch(
                    t -> t.counts().completed() > 0 || sendToEachEntry(caller, entries, headers)));
  }

  /** Sends a request through each entry; returns false, since the condition is to be read again. */
  private boolean sendToEachEntry(
      Caller caller, List<Endpoint> entries, Map<String, String> headers) {
    for (Endpoint e : entries) {
      caller
          .send(e, RequestKind.NORMAL.method(), RequestKind.NORMAL.path(preset.service()), headers)
          .onErrorReturn(new Outcome(0, false))
          .block();
    }
    return false;
  }

  private ModeResult measure(Mode mode, BenchFleet fleet, Caller caller, List<Endpoint> entries)
      throws InterruptedException {
    SurgeLoad load = new SurgeLoad(preset, entries, caller, SurgeExperiment::apiKey);
    LoadResult surge = load.runThroughSurge();
    load.runAfterSurge();
    Duration surgeStart = SurgeLoad.BEFORE_SURGE;
    Duration surgeEnd = surgeStart.plus(SurgeLoad.SURGE);
    Duration end = surgeEnd.plus(SurgeLoad.AFTER_SURGE);
    Timeline t = load.timeline();
    double rateBefore = t.rate(surgeStart.dividedBy(2), surgeStart);
    Map<String, Double> servedByKind = new TreeMap<>();
    for (RequestKind k : RequestKind.values()) {
      servedByKind.put(k.name(), load.servedShare(k));
    }
    return new ModeResult(
        mode,
        t.rate(surgeStart.plusSeconds(1), surgeEnd) / preset.capacity(),
        surge.latencyMillis(50),
        surge.latencyMillis(99),
        servedByKind,
        load.worstAccountShare(),
        wastedShare(fleet),
        t.recoverySeconds(surgeEnd, end, RECOVERED_SHARE * rateBefore),
        fleet.targets().stream().mapToLong(x -> x.counts().started()).sum()
            / (double) Math.max(1, surge.sentCount()));
  }

  /** Returns the share of the targets' busy time that was spent on cancelled requests. */
  private static double wastedShare(BenchFleet fleet) {
    double wastedNanos = 0;
    double busyNanos = 0;
    for (TargetStandIn t : fleet.targets()) {
      TargetCounts c = t.counts();
      wastedNanos += c.wastedNanos();
      busyNanos += c.busyNanos();
    }
    return busyNanos == 0 ? 0 : wastedNanos / busyNanos;
  }

  private void print(ModeResult r) {
    out.printf(
        "%-10s %-14s goodput %3.0f%%  p50 %6.0f ms  p99 %6.0f ms  critical %5.1f%%  normal %5.1f%%"
            + "  low %5.1f%%  worst account %5.1f%%  wasted %4.1f%%  recovery %4.1f s%n",
        preset.name(),
        r.mode(),
        100 * r.goodputShare(),
        r.p50Millis(),
        r.p99Millis(),
        100 * r.servedByKind().get(RequestKind.CRITICAL.name()),
        100 * r.servedByKind().get(RequestKind.NORMAL.name()),
        100 * r.servedByKind().get(RequestKind.LOW.name()),
        100 * r.worstAccountShare(),
        100 * r.wastedShare(),
        r.recoverySeconds());
  }

  private TargetOptions options(Endpoint daemon, int seed) {
    return new TargetOptions(
        new ServiceId(preset.service()),
        Optional.of(daemon),
        preset.slots(),
        preset.slots(),
        preset.slots() * 8,
        preset.serviceTimeMillis(),
        preset.slots(),
        0,
        false,
        List.of(),
        seed);
  }

  private static String apiKey(int account) {
    return "key-" + account;
  }

  private String document() {
    StringBuilder s = new StringBuilder("name = \"bench\"\n");
    s.append("priorities = [\"critical\", \"normal\", \"low\"]\n");
    Preset.ZONES.forEach(z -> s.append("[zones.").append(z).append("]\n"));
    for (int i = 0; i < SurgeLoad.ACCOUNT_COUNT; i++) {
      s.append("[accounts.a").append(i).append("]\nrate = 1000000\nburst = 1000000\n");
      s.append("[[keys]]\naccount = \"a").append(i).append("\"\n");
      s.append("sha256 = \"").append(ApiKeyDigest.of(apiKey(i))).append("\"\n");
    }
    s.append("[services.").append(preset.service()).append("]\nslots = ").append(preset.slots());
    s.append("\nconnections = ").append(preset.slots() * 8);
    s.append("\ncold_start_slots = ").append(preset.slots()).append("\n");
    for (RequestKind k : RequestKind.values()) {
      s.append(route(k));
    }
    return s.toString();
  }

  private String route(RequestKind k) {
    String name = k.name().toLowerCase(Locale.ROOT);
    return """
    [[routes]]
    name = "%1$s"
    service = "%2$s"
    methods = ["%3$s"]
    path = "%4$s"
    priority = "%1$s"
    idempotent = %5$s
    timeout_ms = 1000
    """
        .formatted(
            name,
            preset.service(),
            k.method().name(),
            k.path(preset.service()),
            k != RequestKind.CRITICAL);
  }
}
