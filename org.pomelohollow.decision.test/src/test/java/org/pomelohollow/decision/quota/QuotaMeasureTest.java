package org.pomelohollow.decision.quota;

import static org.pomelohollow.decision.quota.QuotaFleet.MILLI;

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
 * Prints wrongful refusals and messages of the rate limit and of two simpler ways. A refusal is
 * wrongful if a single bucket for the whole fleet, charged with what was admitted, had a token.
 * Runs with {@code -Dpomelohollow.measure=true}.
 */
class QuotaMeasureTest {
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final long SECOND = 1_000 * MILLI;
  private static final long COUNT_FROM = 30 * SECOND;
  private static final long FAULT_FROM = 40 * SECOND;
  private static final long FAULT_TO = 100 * SECOND;
  private static final long END = 120 * SECOND;
  private static final int DAEMONS = 12;
  private static final double LOAD = 0.9;

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
          System.out.println(row(a, t, f, LOAD));
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

  /** Adds up the runs of several seeds, more for a slow account. */
  private static String row(AccountEntry a, Traffic t, Fault f, double load) {
    Sums sums = new Sums();
    int seeds = a.ratePerSecond() < 50 ? 20 : 2;
    for (int seed = 1; seed <= seeds; seed++) {
      Run r = new Run(a, t, f, DAEMONS, load, seed);
      r.run();
      sums.add(r);
    }
    return String.format("%.0f %.0f | %s | %s | %s", a.ratePerSecond(), a.burst(), t, f, sums);
  }

  @Example
  void messages() {
    Assumptions.assumeTrue(Boolean.getBoolean("pomelohollow.measure"));
    System.out.println("daemons rate | messages per second by type | log records in all");
    for (int n : new int[] {12, 24, 48}) {
      for (double rate : new double[] {2, 100, 1000}) {
        Run r =
            new Run(
                new AccountEntry(ACCOUNT, rate, rate * 2, 1), Traffic.EVEN, Fault.NONE, n, LOAD, 1);
        r.run();
        System.out.println(n + " " + rate + " | " + r.messages() + " | " + r.fleet.log.appends);
      }
    }
  }

  private enum Traffic {
    ONE,
    EVEN,
    MOVING,
    BURSTS
  }

  private enum Fault {
    NONE,
    HOLDER_DEAD,
    LOG_DOWN,
    ZONE_CUT
  }

  private static final class Run {
    private final SplittableRandom random;
    private final QuotaFleet fleet;
    private final double load;
    private final AccountEntry account;
    private final Traffic traffic;
    private final Fault fault;
    private final int size;
    private final Tally pieces;
    private final Tally share;
    private final Tally local;
    private final Map<Object, PieceBucket> shares = new HashMap<>();
    private final Map<Object, PieceBucket> locals = new HashMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();

    Run(AccountEntry account, Traffic traffic, Fault fault, int size, double load, long seed) {
      this.random = new SplittableRandom(seed);
      this.fleet = new QuotaFleet(random, QuotaTerms.standard());
      this.load = load;
      this.account = account;
      this.traffic = traffic;
      this.fault = fault;
      this.size = size;
      this.pieces = new Tally(account);
      this.share = new Tally(account);
      this.local = new Tally(account);
    }

    void run() {
      fleet.publish(List.of(account), 0);
      for (int i = 0; i < size; i++) {
        String host = "h" + i;
        String zone = "z" + i % 3;
        fleet.after(random.nextLong(SECOND), () -> fleet.start(host, zone));
      }
      fleet.traffic =
          (m, o) -> {
            if (fleet.now >= COUNT_FROM) {
              counts.merge(o.getClass().getSimpleName(), 1, Integer::sum);
            }
          };
      fleet.after(5 * SECOND, this::arrive);
      fleet.after(FAULT_FROM, this::startFault);
      fleet.runUntil(END);
    }

    private void arrive() {
      double rate = load * account.ratePerSecond();
      if (traffic == Traffic.BURSTS) {
        QuotaFleet.Daemon d = pick(random.nextInt(size));
        for (int i = 0; i < (int) account.burst(); i++) {
          request(d);
        }
        fleet.after((long) (account.burst() / rate * SECOND), this::arrive);
        return;
      }
      request(
          pick(
              switch (traffic) {
                case ONE -> 0;
                case MOVING -> (int) (fleet.now / SECOND % size);
                default -> random.nextInt(size);
              }));
      double wait = -Math.log(1 - random.nextDouble()) / rate;
      fleet.after((long) (wait * SECOND), this::arrive);
    }

    private QuotaFleet.Daemon pick(int i) {
      List<QuotaFleet.Daemon> alive = fleet.alive();
      return alive.get(i % alive.size());
    }

    private void request(QuotaFleet.Daemon d) {
      long now = fleet.now;
      d.acquire(ACCOUNT, a -> pieces.count(a instanceof QuotaAnswer.Granted, fleet.now));
      double cap = Math.max(1, account.burst() / size);
      share.count(take(shares, d, account.ratePerSecond() / size, cap), now);
      local.count(take(locals, d, account.ratePerSecond(), account.burst()), now);
    }

    private boolean take(
        Map<Object, PieceBucket> buckets, QuotaFleet.Daemon d, double rate, double burst) {
      PieceBucket b = buckets.computeIfAbsent(d.id, k -> new PieceBucket(burst, fleet.now));
      b.resize(rate, burst, fleet.now);
      return b.level(fleet.now) >= 1 && b.draw(1, fleet.now) == 1;
    }

    private void startFault() {
      switch (fault) {
        case HOLDER_DEAD -> holder().crash();
        case LOG_DOWN -> {
          fleet.log.down = true;
          fleet.after(FAULT_TO - FAULT_FROM, () -> fleet.log.down = false);
        }
        case ZONE_CUT -> {
          String cut = fleet.daemons.get(0).zone.value();
          fleet.cut = (a, b) -> a.zone.value().equals(cut) != b.zone.value().equals(cut);
          fleet.alive().stream()
              .filter(d -> d.zone.value().equals(cut))
              .forEach(fleet.log.unreachableFor::add);
          fleet.after(
              FAULT_TO - FAULT_FROM,
              () -> {
                fleet.cut = (a, b) -> false;
                fleet.log.unreachableFor.clear();
              });
        }
        default -> {}
      }
    }

    /** Returns a daemon that holds a piece with rate and is not the one with all the traffic. */
    private QuotaFleet.Daemon holder() {
      List<QuotaFleet.Daemon> holders = new ArrayList<>();
      for (QuotaFleet.Daemon d : fleet.daemons.subList(1, fleet.daemons.size())) {
        if (d.controller.dump(d.localNanos()).toString().contains("held ")) {
          holders.add(d);
        }
      }
      return holders.get(0);
    }

    String messages() {
      StringBuilder b = new StringBuilder();
      counts.forEach(
          (k, n) ->
              b.append(String.format("%s %.2f ", k, n / ((END - COUNT_FROM) / (double) SECOND))));
      return b.toString();
    }
  }

  private static final class Tally {
    private final AccountEntry account;
    private final PieceBucket reference;
    private long requests;
    private long wrongful;
    private long beyond;

    Tally(AccountEntry account) {
      this.account = account;
      this.reference = new PieceBucket(account.burst(), 0);
      reference.resize(account.ratePerSecond(), account.burst(), 0);
    }

    void count(boolean granted, long now) {
      boolean within = reference.level(now) >= 1;
      if (granted) {
        reference.draw(1, now);
      }
      if (now >= COUNT_FROM) {
        requests++;
        wrongful += !granted && within ? 1 : 0;
        beyond += granted && !within ? 1 : 0;
      }
    }

    /** Returns how many times the bound the admissions were, as a sum of excesses. */
    double excess() {
      double seconds = (END - COUNT_FROM) / (double) SECOND;
      return beyond / (account.burst() + account.ratePerSecond() * seconds);
    }
  }

  /** Results of several runs: wrongful refusals in percent, admissions beyond the bound. */
  private static final class Sums {
    private final double[] requests = new double[3];
    private final double[] wrongful = new double[3];
    private final double[] beyond = new double[3];
    private int runs;

    void add(Run r) {
      Tally[] t = {r.pieces, r.share, r.local};
      for (int i = 0; i < t.length; i++) {
        requests[i] += t[i].requests;
        wrongful[i] += t[i].wrongful;
        beyond[i] += t[i].excess();
      }
      runs++;
    }

    @Override
    public String toString() {
      StringBuilder b = new StringBuilder();
      for (int i = 0; i < requests.length; i++) {
        double percent = 100 * wrongful[i] / requests[i];
        b.append(String.format("%.3f%% (x%.2f) | ", percent, 1 + beyond[i] / runs));
      }
      return b.toString();
    }
  }
}
