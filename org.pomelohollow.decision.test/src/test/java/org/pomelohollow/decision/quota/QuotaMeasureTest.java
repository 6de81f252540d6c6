package org.pomelohollow.decision.quota;

import static org.pomelohollow.decision.quota.QuotaSimulation.NANOS_PER_MILLI;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.junit.jupiter.api.Assumptions;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/**
 * Prints the wrongful refusals of the rate limiter and of two simpler algorithms, and the messages
 * of the rate limiter: "pieces" is the rate limiter, "1/N" gives each daemon an equal share of the
 * rate, "local" gives each the whole rate. A refusal is wrongful if a single bucket for all
 * daemons, charged with what was admitted, had a token. Runs only with {@code
 * -Dpomelohollow.measure=true}.
 */
class QuotaMeasureTest {
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long COUNT_FROM_NANOS = 30 * NANOS_PER_SECOND;
  private static final long FAULT_FROM_NANOS = 40 * NANOS_PER_SECOND;
  private static final long FAULT_TO_NANOS = 100 * NANOS_PER_SECOND;
  private static final long END_NANOS = 120 * NANOS_PER_SECOND;
  private static final int DAEMON_COUNT = 12;

  /** Offered load, as a fraction of the account's rate. */
  private static final double LOAD_FRACTION = 0.9;

  @Example
  void wrongfulRefusals() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    System.out.println(
        "rate burst | traffic | fault | pieces | 1/N | local: wrongful refusals (x bound)");
    for (AccountEntry a :
        List.of(
            new AccountEntry(ACCOUNT, 100, 200, 1),
            new AccountEntry(ACCOUNT, 2, 10, 1),
            new AccountEntry(ACCOUNT, 1000, 500, 1))) {
      for (Traffic t : Traffic.values()) {
        for (Fault f : Fault.values()) {
          System.out.println(row(a, t, f, LOAD_FRACTION));
        }
      }
    }
  }

  @Example
  void overload() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    System.out.println("three times the rate: only the factor of the bound counts | as above");
    System.out.println(row(new AccountEntry(ACCOUNT, 100, 200, 1), Traffic.EVEN, Fault.NONE, 3));
  }

  /** Adds up the runs of several seeds; an account with a low rate needs more of them. */
  private static String row(AccountEntry a, Traffic t, Fault f, double loadFraction) {
    Totals totals = new Totals();
    int seedCount = a.ratePerSecond() < 50 ? 20 : 2;
    for (int seed = 1; seed <= seedCount; seed++) {
      Experiment r = new Experiment(a, t, f, DAEMON_COUNT, loadFraction, seed);
      r.run();
      totals.add(r);
    }
    return String.format("%.0f %.0f | %s | %s | %s", a.ratePerSecond(), a.burst(), t, f, totals);
  }

  @Example
  void messages() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    System.out.println("daemons rate | messages per second by type | log records in all");
    for (int n : new int[] {12, 24, 48}) {
      for (double rate : new double[] {2, 100, 1000}) {
        Experiment r =
            new Experiment(
                new AccountEntry(ACCOUNT, rate, rate * 2, 1),
                Traffic.EVEN,
                Fault.NONE,
                n,
                LOAD_FRACTION,
                1);
        r.run();
        System.out.println(
            n + " " + rate + " | " + r.messageRates() + " | " + r.simulation.log.appendCount);
      }
    }
  }

  private enum Traffic {
    /** All requests come through one daemon. */
    ONE,
    /** Each request comes through a random daemon. */
    EVEN,
    /** All requests come through one daemon, another one every second. */
    MOVING,
    /** Requests come in bursts of the account's burst, each through a random daemon. */
    BURSTS
  }

  private enum Fault {
    NONE,
    HOLDER_DEAD,
    LOG_DOWN,
    ZONE_CUT
  }

  private static final class Experiment {
    private final SplittableRandom random;
    private final QuotaSimulation simulation;
    private final double loadFraction;
    private final AccountEntry account;
    private final Traffic traffic;
    private final Fault fault;
    private final int daemonCount;
    private final Tally piecesTally;
    private final Tally equalShareTally;
    private final Tally localTally;
    private final Map<Object, LendingBucket> equalShareBuckets = new HashMap<>();
    private final Map<Object, LendingBucket> localBuckets = new HashMap<>();
    private final Map<String, Integer> messageCounts = new TreeMap<>();

    Experiment(
        AccountEntry account,
        Traffic traffic,
        Fault fault,
        int daemonCount,
        double loadFraction,
        long seed) {
      this.random = new SplittableRandom(seed);
      this.simulation = new QuotaSimulation(random, QuotaSettings.standard());
      this.loadFraction = loadFraction;
      this.account = account;
      this.traffic = traffic;
      this.fault = fault;
      this.daemonCount = daemonCount;
      this.piecesTally = new Tally(account);
      this.equalShareTally = new Tally(account);
      this.localTally = new Tally(account);
    }

    void run() {
      simulation.publishAccounts(List.of(account), 0);
      for (int i = 0; i < daemonCount; i++) {
        String host = "h" + i;
        String zone = "z" + i % 3;
        simulation.schedule(random.nextLong(NANOS_PER_SECOND), () -> simulation.start(host, zone));
      }
      simulation.trafficListener =
          (m, o) -> {
            if (simulation.nowNanos >= COUNT_FROM_NANOS) {
              messageCounts.merge(o.getClass().getSimpleName(), 1, Integer::sum);
            }
          };
      simulation.schedule(5 * NANOS_PER_SECOND, this::sendRequests);
      simulation.schedule(FAULT_FROM_NANOS, this::startFault);
      simulation.runUntil(END_NANOS);
    }

    private void sendRequests() {
      double rate = loadFraction * account.ratePerSecond();
      if (traffic == Traffic.BURSTS) {
        QuotaSimulation.Daemon d = aliveDaemon(random.nextInt(daemonCount));
        for (int i = 0; i < (int) account.burst(); i++) {
          request(d);
        }
        simulation.schedule((long) (account.burst() / rate * NANOS_PER_SECOND), this::sendRequests);
        return;
      }
      request(
          aliveDaemon(
              switch (traffic) {
                case ONE -> 0;
                case MOVING -> (int) (simulation.nowNanos / NANOS_PER_SECOND % daemonCount);
                default -> random.nextInt(daemonCount);
              }));
      double waitSeconds = -Math.log(1 - random.nextDouble()) / rate;
      simulation.schedule((long) (waitSeconds * NANOS_PER_SECOND), this::sendRequests);
    }

    private QuotaSimulation.Daemon aliveDaemon(int i) {
      List<QuotaSimulation.Daemon> alive = simulation.alive();
      return alive.get(i % alive.size());
    }

    private void request(QuotaSimulation.Daemon d) {
      long now = simulation.nowNanos;
      d.acquire(
          ACCOUNT, a -> piecesTally.count(a instanceof QuotaResult.Granted, simulation.nowNanos));
      double shareBurst = Math.max(1, account.burst() / daemonCount);
      equalShareTally.count(
          takeToken(equalShareBuckets, d, account.ratePerSecond() / daemonCount, shareBurst), now);
      localTally.count(takeToken(localBuckets, d, account.ratePerSecond(), account.burst()), now);
    }

    private boolean takeToken(
        Map<Object, LendingBucket> buckets, QuotaSimulation.Daemon d, double rate, double burst) {
      LendingBucket b =
          buckets.computeIfAbsent(d.id, k -> new LendingBucket(burst, simulation.nowNanos));
      b.resize(rate, burst, simulation.nowNanos);
      return b.level(simulation.nowNanos) >= 1 && b.drawTokens(1, simulation.nowNanos) == 1;
    }

    private void startFault() {
      switch (fault) {
        case HOLDER_DEAD -> otherHolder().crash();
        case LOG_DOWN -> {
          simulation.log.down = true;
          simulation.schedule(FAULT_TO_NANOS - FAULT_FROM_NANOS, () -> simulation.log.down = false);
        }
        case ZONE_CUT -> {
          String cutZone = simulation.daemons.get(0).zone.value();
          simulation.linkCut =
              (a, b) -> a.zone.value().equals(cutZone) != b.zone.value().equals(cutZone);
          simulation.alive().stream()
              .filter(d -> d.zone.value().equals(cutZone))
              .forEach(simulation.log.unreachableDaemons::add);
          simulation.schedule(
              FAULT_TO_NANOS - FAULT_FROM_NANOS,
              () -> {
                simulation.linkCut = (a, b) -> false;
                simulation.log.unreachableDaemons.clear();
              });
        }
        default -> {}
      }
    }

    /** Returns a daemon that holds a piece, other than daemon 0, which may get all the traffic. */
    private QuotaSimulation.Daemon otherHolder() {
      List<QuotaSimulation.Daemon> holders = new ArrayList<>();
      for (QuotaSimulation.Daemon d : simulation.daemons.subList(1, simulation.daemons.size())) {
        if (d.controller.dump(d.localNanos()).toString().contains("held ")) {
          holders.add(d);
        }
      }
      return holders.get(0);
    }

    String messageRates() {
      StringBuilder b = new StringBuilder();
      messageCounts.forEach(
          (k, n) ->
              b.append(
                  String.format(
                      "%s %.2f ",
                      k, n / ((END_NANOS - COUNT_FROM_NANOS) / (double) NANOS_PER_SECOND))));
      return b.toString();
    }
  }

  /** Counts the decisions of one algorithm against a single reference bucket. */
  private static final class Tally {
    private final AccountEntry account;
    private final LendingBucket reference;
    private long requests;
    private long wrongfulRefusals;
    private long excessAdmissions;

    Tally(AccountEntry account) {
      this.account = account;
      this.reference = new LendingBucket(account.burst(), 0);
      reference.resize(account.ratePerSecond(), account.burst(), 0);
    }

    void count(boolean granted, long now) {
      boolean within = reference.level(now) >= 1;
      if (granted) {
        reference.drawTokens(1, now);
      }
      if (now >= COUNT_FROM_NANOS) {
        requests++;
        wrongfulRefusals += !granted && within ? 1 : 0;
        excessAdmissions += granted && !within ? 1 : 0;
      }
    }

    /** Returns the admissions beyond the reference bucket, as a fraction of burst + rate * t. */
    double excessFraction() {
      double seconds = (END_NANOS - COUNT_FROM_NANOS) / (double) NANOS_PER_SECOND;
      return excessAdmissions / (account.burst() + account.ratePerSecond() * seconds);
    }
  }

  /** Totals of several runs: wrongful refusals in percent, admissions as a factor of the bound. */
  private static final class Totals {
    private final double[] requests = new double[3];
    private final double[] wrongfulRefusals = new double[3];
    private final double[] excessFractions = new double[3];
    private int runCount;

    void add(Experiment r) {
      Tally[] t = {r.piecesTally, r.equalShareTally, r.localTally};
      for (int i = 0; i < t.length; i++) {
        requests[i] += t[i].requests;
        wrongfulRefusals[i] += t[i].wrongfulRefusals;
        excessFractions[i] += t[i].excessFraction();
      }
      runCount++;
    }

    @Override
    public String toString() {
      StringBuilder b = new StringBuilder();
      for (int i = 0; i < requests.length; i++) {
        double percent = 100 * wrongfulRefusals[i] / requests[i];
        b.append(String.format("%.3f%% (x%.2f) | ", percent, 1 + excessFractions[i] / runCount));
      }
      return b.toString();
    }
  }
}
