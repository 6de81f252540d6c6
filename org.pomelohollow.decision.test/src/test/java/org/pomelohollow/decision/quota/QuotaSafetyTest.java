package org.pomelohollow.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.pomelohollow.decision.quota.QuotaFleet.MILLI;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/**
 * Admissions never exceed burst + rate * t in any window, over random schedules of faults. {@code
 * -Dpomelohollow.tries=10000} runs more of them, {@code -Dpomelohollow.seed=N} starts elsewhere.
 */
class QuotaSafetyTest {
  private static final int TRIES = Integer.getInteger("pomelohollow.tries", 250);
  private static final long FIRST_SEED = Long.getLong("pomelohollow.seed", 1);
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final long SECOND = 1_000 * MILLI;
  private static final double ROUNDING = 1e-6;
  private static final QuotaTerms TERMS =
      new QuotaTerms(
          2_500 * MILLI, 400 * MILLI, 1_300 * MILLI, SECOND, 15 * SECOND, 150 * MILLI, SECOND);

  @Example
  void noScheduleExceedsTheRate() {
    long admitted = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + TRIES; seed++) {
      Schedule s = new Schedule(new SplittableRandom(seed));
      s.run();
      assertEquals(List.of(), s.faults.stream().limit(3).toList(), "seed " + seed);
      assertEquals(Optional.empty(), s.bound.violation(), "seed " + seed);
      admitted += s.bound.count();
    }
    System.out.println("quota: " + TRIES + " schedules, " + admitted + " admissions");
  }

  private static final class Schedule {
    private final RandomGenerator random;
    private final QuotaFleet fleet;
    private final RateBound bound = new RateBound();
    private final List<String> faults = new ArrayList<>();
    private final long end;
    private double rate;
    private double burst;
    private int hosts;

    Schedule(RandomGenerator random) {
      this.random = random;
      this.fleet = new QuotaFleet(random, TERMS);
      this.end = (20 + random.nextInt(60)) * SECOND;
    }

    void run() {
      if (random.nextBoolean()) {
        fleet.log.retentionNanos = 25 * SECOND;
      }
      publish(0);
      int n = 3 + random.nextInt(10);
      for (int i = 0; i < n; i++) {
        fleet.after(random.nextLong(2 * SECOND), this::join);
      }
      fleet.after(SECOND, this::arrive);
      fleet.after(SECOND, this::inspect);
      int faults = 2 + random.nextInt(14);
      for (int i = 0; i < faults; i++) {
        fleet.after(random.nextLong(end), this::fault);
      }
      fleet.runUntil(end);
    }

    private void join() {
      fleet.start("h" + ++hosts, "z" + random.nextInt(3));
    }

    private void arrive() {
      List<QuotaFleet.Daemon> d = fleet.alive();
      if (!d.isEmpty()) {
        int n = random.nextInt(20) == 0 ? (int) burst + 2 : 1;
        QuotaFleet.Daemon entry = d.get(random.nextInt(d.size()));
        for (int i = 0; i < n; i++) {
          entry.acquire(ACCOUNT, this::count);
        }
      }
      fleet.after(random.nextLong((long) (SECOND / rate)) + 1, this::arrive);
    }

    /** Checks that a piece has one lender at most, which counts every loan that can be spent. */
    private void inspect() {
      for (Piece p : Piece.of(ACCOUNT)) {
        List<QuotaController.PieceState> states =
            fleet.alive().stream().map(d -> d.controller.state(p, d.localNanos())).toList();
        List<QuotaController.PieceState> lenders =
            states.stream().filter(QuotaController.PieceState::lends).toList();
        double spendable = states.stream().mapToDouble(s -> s.borrowed()).sum();
        if (lenders.size() > 1) {
          faults.add(p + " has two lenders at " + fleet.now / MILLI + " ms");
        } else if (lenders.size() == 1 && spendable > lenders.get(0).lent() + ROUNDING) {
          faults.add(p + " has uncounted loans at " + fleet.now / MILLI + " ms");
        }
      }
      fleet.after(20 * MILLI, this::inspect);
    }

    private void count(QuotaAnswer a) {
      if (a instanceof QuotaAnswer.Granted) {
        bound.admitted(fleet.now);
      }
    }

    private void publish(long slowest) {
      double oldRate = rate;
      double oldBurst = burst;
      rate = 2 + random.nextInt(30);
      burst = 4 + random.nextInt(30);
      long changed = fleet.now;
      if (oldRate > 0) {
        long settled = changed + slowest + TERMS.lease() + TERMS.loan() + SECOND / 10;
        bound.allow(Math.max(rate, oldRate), Math.max(burst, oldBurst), changed, settled);
      }
      bound.allow(rate, burst, changed, Long.MAX_VALUE);
      fleet.publish(List.of(new AccountEntry(ACCOUNT, rate, burst, 1)), slowest);
    }

    /** Removes the account for a while; what it had saved up is gone when it comes back. */
    private void withdraw() {
      fleet.publish(List.of(), SECOND);
      fleet.after(
          2 * SECOND,
          () -> fleet.publish(List.of(new AccountEntry(ACCOUNT, rate, burst, 1)), SECOND));
    }

    private void fault() {
      long time = random.nextLong(random.nextBoolean() ? 25 * SECOND : 4 * SECOND) + MILLI;
      List<QuotaFleet.Daemon> alive = fleet.alive();
      if (alive.isEmpty()) {
        join();
        return;
      }
      QuotaFleet.Daemon d = alive.get(random.nextInt(alive.size()));
      switch (random.nextInt(14)) {
        case 0 -> d.pause(time);
        case 1 -> alive.forEach(x -> pauseSome(x, time));
        case 2 -> crash(d);
        case 3 -> alive.forEach(this::crash);
        case 4 -> partition(time);
        case 5 -> logDown(time);
        case 6 -> cutFromLog(alive, time);
        case 7 -> lossy(time);
        case 8 -> join();
        case 9 -> d.stop(SECOND);
        case 10 -> strangeLog(time);
        case 11 -> publish(random.nextLong(2 * SECOND));
        case 12 -> withdraw();
        default -> blind(alive, time);
      }
    }

    private void pauseSome(QuotaFleet.Daemon d, long time) {
      if (random.nextBoolean()) {
        d.pause(time);
      }
    }

    private void crash(QuotaFleet.Daemon d) {
      d.crash();
      String host = random.nextInt(4) == 0 ? "h" + ++hosts : d.id.host();
      long delay = random.nextLong(5 * SECOND);
      fleet.after(delay, () -> fleet.start(host, d.zone.value()));
    }

    private void partition(long time) {
      long sides = random.nextLong();
      fleet.cut =
          (a, b) ->
              ((sides >> a.id.incarnation() % 60) & 1) != ((sides >> b.id.incarnation() % 60) & 1);
      if (random.nextBoolean()) {
        fleet.alive().stream()
            .filter(d -> ((sides >> d.id.incarnation() % 60) & 1) == 0)
            .forEach(fleet.log.unreachableFor::add);
      }
      fleet.after(time, this::heal);
    }

    private void heal() {
      fleet.cut = (a, b) -> false;
      fleet.log.unreachableFor.clear();
    }

    private void logDown(long time) {
      fleet.log.down = true;
      fleet.after(time, () -> fleet.log.down = false);
    }

    private void cutFromLog(List<QuotaFleet.Daemon> alive, long time) {
      alive.stream().filter(d -> random.nextBoolean()).forEach(fleet.log.unreachableFor::add);
      fleet.after(time, fleet.log.unreachableFor::clear);
    }

    private void lossy(long time) {
      fleet.loss = random.nextDouble() * 0.5;
      fleet.duplication = random.nextDouble() * 0.5;
      fleet.slowestNanos = 1 + random.nextLong(4 * SECOND);
      fleet.after(
          time,
          () -> {
            fleet.loss = 0;
            fleet.duplication = 0;
            fleet.slowestNanos = 0;
          });
    }

    private void strangeLog(long time) {
      fleet.log.lostAnswers = random.nextDouble();
      fleet.log.staleReads = random.nextDouble();
      fleet.log.appendNanos = 1 + random.nextLong(2 * SECOND);
      fleet.after(
          time,
          () -> {
            fleet.log.lostAnswers = 0;
            fleet.log.staleReads = 0;
            fleet.log.appendNanos = 3 * MILLI;
          });
    }

    private void blind(List<QuotaFleet.Daemon> alive, long time) {
      alive.forEach(d -> d.sees = x -> random.nextInt(3) == 0);
      fleet.after(time, () -> alive.forEach(d -> d.sees = x -> true));
    }
  }
}
