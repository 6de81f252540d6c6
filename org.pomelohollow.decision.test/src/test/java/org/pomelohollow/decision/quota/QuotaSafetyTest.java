package org.pomelohollow.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.pomelohollow.decision.quota.QuotaSimulation.NANOS_PER_MILLI;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/**
 * Checks over random schedules of faults that a piece never has two lenders, and that admissions
 * never exceed burst + rate * t in any window of length t. {@code -Dpomelohollow.tries=10000} runs
 * more schedules, {@code -Dpomelohollow.seed=N} starts with another seed.
 */
class QuotaSafetyTest {
  private static final int TRIES = Integer.getInteger("pomelohollow.tries", 250);
  private static final long FIRST_SEED = Long.getLong("pomelohollow.seed", 1);
  private static final AccountId ACCOUNT = new AccountId("a");
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final double ROUNDING_TOKENS = 1e-6;
  private static final QuotaSettings SETTINGS =
      new QuotaSettings(
          2_500 * NANOS_PER_MILLI,
          400 * NANOS_PER_MILLI,
          1_300 * NANOS_PER_MILLI,
          NANOS_PER_SECOND,
          15 * NANOS_PER_SECOND,
          150 * NANOS_PER_MILLI,
          NANOS_PER_SECOND);

  @Example
  void noScheduleExceedsTheRate() {
    long admitted = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + TRIES; seed++) {
      Schedule s = new Schedule(new SplittableRandom(seed));
      s.run();
      assertEquals(List.of(), s.violations.stream().limit(3).toList(), "seed " + seed);
      assertEquals(Optional.empty(), s.bound.findViolation(), "seed " + seed);
      admitted += s.bound.admissionCount();
    }
    System.out.println("quota: " + TRIES + " schedules, " + admitted + " admissions");
  }

  private static final class Schedule {
    private final RandomGenerator random;
    private final QuotaSimulation simulation;
    private final RateBound bound = new RateBound();
    private final List<String> violations = new ArrayList<>();
    private final long endNanos;
    private double rate;
    private double burst;
    private int hostCount;

    Schedule(RandomGenerator random) {
      this.random = random;
      this.simulation = new QuotaSimulation(random, SETTINGS);
      this.endNanos = (20 + random.nextInt(60)) * NANOS_PER_SECOND;
    }

    void run() {
      if (random.nextBoolean()) {
        simulation.log.retentionNanos = 25 * NANOS_PER_SECOND;
      }
      publishRate(0);
      int daemonCount = 3 + random.nextInt(10);
      for (int i = 0; i < daemonCount; i++) {
        simulation.schedule(random.nextLong(2 * NANOS_PER_SECOND), this::startDaemon);
      }
      simulation.schedule(NANOS_PER_SECOND, this::sendRequests);
      simulation.schedule(NANOS_PER_SECOND, this::checkLenders);
      int faultCount = 2 + random.nextInt(14);
      for (int i = 0; i < faultCount; i++) {
        simulation.schedule(random.nextLong(endNanos), this::injectFault);
      }
      simulation.runUntil(endNanos);
    }

    private void startDaemon() {
      simulation.start("h" + ++hostCount, "z" + random.nextInt(3));
    }

    private void sendRequests() {
      List<QuotaSimulation.Daemon> d = simulation.alive();
      if (!d.isEmpty()) {
        int requestCount = random.nextInt(20) == 0 ? (int) burst + 2 : 1;
        QuotaSimulation.Daemon entry = d.get(random.nextInt(d.size()));
        for (int i = 0; i < requestCount; i++) {
          entry.acquire(ACCOUNT, this::recordResult);
        }
      }
      simulation.schedule(
          random.nextLong((long) (NANOS_PER_SECOND / rate)) + 1, this::sendRequests);
    }

    /**
     * Checks that a piece has at most one lender, and that the lender has counted every loan that
     * can still be spent.
     */
    private void checkLenders() {
      for (QuotaPiece p : QuotaPiece.allOf(ACCOUNT)) {
        List<QuotaController.PieceState> states =
            simulation.alive().stream()
                .map(d -> d.controller.pieceState(p, d.localNanos()))
                .toList();
        List<QuotaController.PieceState> lenders =
            states.stream().filter(QuotaController.PieceState::canLend).toList();
        double borrowedTokens = states.stream().mapToDouble(s -> s.borrowedTokens()).sum();
        if (lenders.size() > 1) {
          violations.add(
              p + " has two lenders at " + simulation.nowNanos / NANOS_PER_MILLI + " ms");
        } else if (lenders.size() == 1
            && borrowedTokens > lenders.get(0).lentTokens() + ROUNDING_TOKENS) {
          violations.add(
              p + " has uncounted loans at " + simulation.nowNanos / NANOS_PER_MILLI + " ms");
        }
      }
      simulation.schedule(20 * NANOS_PER_MILLI, this::checkLenders);
    }

    private void recordResult(QuotaResult result) {
      if (result instanceof QuotaResult.Granted) {
        bound.recordAdmission(simulation.nowNanos);
      }
    }

    private void publishRate(long maxDelayNanos) {
      double oldRate = rate;
      double oldBurst = burst;
      rate = 2 + random.nextInt(30);
      burst = 4 + random.nextInt(30);
      long changedNanos = simulation.nowNanos;
      if (oldRate > 0) {
        long settledNanos =
            changedNanos
                + maxDelayNanos
                + SETTINGS.leaseNanos()
                + SETTINGS.loanNanos()
                + NANOS_PER_SECOND / 10;
        bound.addLimit(
            Math.max(rate, oldRate), Math.max(burst, oldBurst), changedNanos, settledNanos);
      }
      bound.addLimit(rate, burst, changedNanos, Long.MAX_VALUE);
      simulation.publishAccounts(List.of(new AccountEntry(ACCOUNT, rate, burst, 1)), maxDelayNanos);
    }

    /**
     * Removes the account for a while. Its unspent tokens are lost by the time it is added again.
     */
    private void removeAccountForAWhile() {
      simulation.publishAccounts(List.of(), NANOS_PER_SECOND);
      simulation.schedule(
          2 * NANOS_PER_SECOND,
          () ->
              simulation.publishAccounts(
                  List.of(new AccountEntry(ACCOUNT, rate, burst, 1)), NANOS_PER_SECOND));
    }

    private void injectFault() {
      long durationNanos =
          random.nextLong(random.nextBoolean() ? 25 * NANOS_PER_SECOND : 4 * NANOS_PER_SECOND)
              + NANOS_PER_MILLI;
      List<QuotaSimulation.Daemon> alive = simulation.alive();
      if (alive.isEmpty()) {
        startDaemon();
        return;
      }
      QuotaSimulation.Daemon d = alive.get(random.nextInt(alive.size()));
      switch (random.nextInt(14)) {
        case 0 -> d.pause(durationNanos);
        case 1 -> alive.forEach(x -> pauseAtRandom(x, durationNanos));
        case 2 -> crashAndRestart(d);
        case 3 -> alive.forEach(this::crashAndRestart);
        case 4 -> partitionNetwork(durationNanos);
        case 5 -> takeLogDown(durationNanos);
        case 6 -> cutSomeFromLog(alive, durationNanos);
        case 7 -> degradeNetwork(durationNanos);
        case 8 -> startDaemon();
        case 9 -> d.stop(NANOS_PER_SECOND);
        case 10 -> degradeLog(durationNanos);
        case 11 -> publishRate(random.nextLong(2 * NANOS_PER_SECOND));
        case 12 -> removeAccountForAWhile();
        default -> hideMembersAtRandom(alive, durationNanos);
      }
    }

    private void pauseAtRandom(QuotaSimulation.Daemon d, long durationNanos) {
      if (random.nextBoolean()) {
        d.pause(durationNanos);
      }
    }

    /** Crashes a daemon; a later incarnation starts on the same host or, sometimes, another. */
    private void crashAndRestart(QuotaSimulation.Daemon d) {
      d.crash();
      String host = random.nextInt(4) == 0 ? "h" + ++hostCount : d.id.host();
      long delayNanos = random.nextLong(5 * NANOS_PER_SECOND);
      simulation.schedule(delayNanos, () -> simulation.start(host, d.zone.value()));
    }

    private void partitionNetwork(long durationNanos) {
      long sides = random.nextLong();
      simulation.linkCut =
          (a, b) ->
              ((sides >> a.id.incarnation() % 60) & 1) != ((sides >> b.id.incarnation() % 60) & 1);
      if (random.nextBoolean()) {
        simulation.alive().stream()
            .filter(d -> ((sides >> d.id.incarnation() % 60) & 1) == 0)
            .forEach(simulation.log.unreachableDaemons::add);
      }
      simulation.schedule(durationNanos, this::healNetwork);
    }

    private void healNetwork() {
      simulation.linkCut = (a, b) -> false;
      simulation.log.unreachableDaemons.clear();
    }

    private void takeLogDown(long durationNanos) {
      simulation.log.down = true;
      simulation.schedule(durationNanos, () -> simulation.log.down = false);
    }

    private void cutSomeFromLog(List<QuotaSimulation.Daemon> alive, long durationNanos) {
      alive.stream()
          .filter(d -> random.nextBoolean())
          .forEach(simulation.log.unreachableDaemons::add);
      simulation.schedule(durationNanos, simulation.log.unreachableDaemons::clear);
    }

    private void degradeNetwork(long durationNanos) {
      simulation.lossProbability = random.nextDouble() * 0.5;
      simulation.duplicationProbability = random.nextDouble() * 0.5;
      simulation.maxExtraLatencyNanos = 1 + random.nextLong(4 * NANOS_PER_SECOND);
      simulation.schedule(
          durationNanos,
          () -> {
            simulation.lossProbability = 0;
            simulation.duplicationProbability = 0;
            simulation.maxExtraLatencyNanos = 0;
          });
    }

    private void degradeLog(long durationNanos) {
      simulation.log.lostReplyProbability = random.nextDouble();
      simulation.log.staleReadProbability = random.nextDouble();
      simulation.log.meanAppendNanos = 1 + random.nextLong(2 * NANOS_PER_SECOND);
      simulation.schedule(
          durationNanos,
          () -> {
            simulation.log.lostReplyProbability = 0;
            simulation.log.staleReadProbability = 0;
            simulation.log.meanAppendNanos = 3 * NANOS_PER_MILLI;
          });
    }

    /** Makes every daemon see each member with a probability of 1/3 only, in each roster update. */
    private void hideMembersAtRandom(List<QuotaSimulation.Daemon> alive, long durationNanos) {
      alive.forEach(d -> d.sees = x -> random.nextInt(3) == 0);
      simulation.schedule(durationNanos, () -> alive.forEach(d -> d.sees = x -> true));
    }
  }
}
