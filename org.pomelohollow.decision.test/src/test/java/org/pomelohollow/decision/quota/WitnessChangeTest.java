package org.pomelohollow.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/** Daemons leave gracefully one after the other while requests far within the rate arrive. */
class WitnessChangeTest {
  private static final AccountId ACCOUNT = new AccountId("one");
  private static final long NANOS_PER_SECOND = 1_000 * QuotaSimulation.NANOS_PER_MILLI;
  private static final long START_NANOS = 10 * NANOS_PER_SECOND;
  private static final long END_NANOS = 40 * NANOS_PER_SECOND;
  private static final long REQUEST_INTERVAL_NANOS = 4 * QuotaSimulation.NANOS_PER_MILLI;
  private static final long EXIT_NANOS = 2 * NANOS_PER_SECOND;
  private static final long RESTART_NANOS = NANOS_PER_SECOND / 10;

  /** Step of the time between two leaves, by which the faults of successive leaves overlap. */
  private static final long PERIOD_STEP_NANOS = NANOS_PER_SECOND / 10;

  private static final int REPLACEMENTS = 8;
  private static final int SEEDS = 20;

  @Example
  void requestsWithinTheRateAreGrantedWhileTheOtherDaemonsAreReplaced() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      assertEquals(List.of(), refusals(seed), "refusals with seed " + seed);
    }
  }

  /** Returns when requests were refused, in milliseconds. */
  private static List<Long> refusals(int seed) {
    QuotaSimulation s = new QuotaSimulation(new SplittableRandom(seed), QuotaSettings.standard());
    s.publishAccounts(List.of(new AccountEntry(ACCOUNT, 10_000, 10_000, 1)), 0);
    QuotaSimulation.Daemon entry = s.start("h1", "a");
    s.start("h2", "b");
    s.start("h3", "c");
    List<Long> refusedMillis = new ArrayList<>();
    for (long t = START_NANOS; t < END_NANOS; t += REQUEST_INTERVAL_NANOS) {
      s.schedule(
          t,
          () ->
              entry.acquire(
                  ACCOUNT,
                  r -> {
                    if (!(r instanceof QuotaResult.Granted)) {
                      refusedMillis.add(s.nowNanos / QuotaSimulation.NANOS_PER_MILLI);
                    }
                  }));
    }
    long periodNanos = EXIT_NANOS + seed * PERIOD_STEP_NANOS;
    for (int i = 0; i < REPLACEMENTS; i++) {
      String host = i % 2 == 0 ? "h2" : "h3";
      String zone = i % 2 == 0 ? "b" : "c";
      s.schedule(START_NANOS + i * periodNanos, () -> leave(s, host));
      s.schedule(
          START_NANOS + i * periodNanos + EXIT_NANOS + RESTART_NANOS, () -> s.start(host, zone));
    }
    s.runUntil(END_NANOS);
    return refusedMillis;
  }

  private static void leave(QuotaSimulation s, String host) {
    s.alive().stream().filter(d -> d.id.host().equals(host)).forEach(d -> d.stop(EXIT_NANOS));
  }
}
