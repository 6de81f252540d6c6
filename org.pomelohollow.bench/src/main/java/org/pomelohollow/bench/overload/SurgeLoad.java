package org.pomelohollow.bench.overload;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.IntFunction;
import org.pomelohollow.bench.load.Caller;
import org.pomelohollow.bench.load.LoadResult;
import org.pomelohollow.bench.load.OpenLoop;
import org.pomelohollow.bench.load.Outcome;
import org.pomelohollow.model.Endpoint;
import reactor.core.publisher.Mono;

/** Load before, in and after a surge of demand. The first account makes the surge. */
final class SurgeLoad {
  static final int ACCOUNTS = 8;
  static final Duration BEFORE = Duration.ofSeconds(4);
  static final Duration SURGE = Duration.ofSeconds(8);
  static final Duration AFTER = Duration.ofSeconds(8);

  private static final double BASE_LOAD = 0.6;
  private static final double SURGE_LOAD = 3;
  private static final long SEED = 1;

  private final Preset preset;
  private final List<Endpoint> entries;
  private final Caller caller;
  private final IntFunction<String> keys;
  private final Timeline timeline = new Timeline(BEFORE.plus(SURGE).plus(AFTER).plusSeconds(5));
  private final SplittableRandom random = new SplittableRandom(SEED);
  private final Map<Kind, LongAdder> sent = counters();
  private final Map<Kind, LongAdder> served = counters();
  private final List<LongAdder> sentByAccount = adders();
  private final List<LongAdder> servedByAccount = adders();
  private boolean inSurge;

  SurgeLoad(Preset preset, List<Endpoint> entries, Caller caller, IntFunction<String> keys) {
    this.preset = preset;
    this.entries = entries;
    this.caller = caller;
    this.keys = keys;
  }

  /** Runs the load and returns what was seen in the surge. */
  LoadResult run() throws InterruptedException {
    OpenLoop.run(BASE_LOAD * preset.capacity(), BEFORE, SEED, i -> send(i, false));
    inSurge = true;
    LoadResult r =
        OpenLoop.run(SURGE_LOAD * preset.capacity(), SURGE, SEED, i -> send(i, i % 5 != 0));
    inSurge = false;
    return r;
  }

  /** Runs the load after the surge. */
  void runAfter() throws InterruptedException {
    OpenLoop.run(BASE_LOAD * preset.capacity(), AFTER, SEED, i -> send(i, false));
  }

  Timeline timeline() {
    return timeline;
  }

  double served(Kind k) {
    return share(served.get(k), sent.get(k));
  }

  /** Returns the least served share of the accounts that stay in their share. */
  double worstAccount() {
    double worst = 1;
    for (int i = 1; i < ACCOUNTS; i++) {
      worst = Math.min(worst, share(servedByAccount.get(i), sentByAccount.get(i)));
    }
    return worst;
  }

  private Mono<Outcome> send(long i, boolean aggressor) {
    Kind k = Kind.of(random.nextDouble());
    int account = aggressor ? 0 : 1 + (int) (i % (ACCOUNTS - 1));
    boolean counted = inSurge;
    if (counted) {
      sent.get(k).increment();
      sentByAccount.get(account).increment();
    }
    Map<String, String> headers =
        Map.of(
            "Authorization",
            "Bearer " + keys.apply(account),
            "Idempotency-Key",
            "k" + counted + i + "-" + timeline.hashCode(),
            "Stand-In-Mark",
            k.name());
    Endpoint entry = entries.get((int) (i % entries.size()));
    return caller
        .send(entry, k.method(), k.path(preset.service()), headers)
        .doOnNext(o -> ended(o, k, account, counted));
  }

  private void ended(Outcome o, Kind k, int account, boolean counted) {
    if (!o.isServed()) {
      return;
    }
    timeline.served();
    if (counted) {
      served.get(k).increment();
      servedByAccount.get(account).increment();
    }
  }

  private static double share(LongAdder part, LongAdder whole) {
    return whole.sum() == 0 ? 1 : part.sum() / (double) whole.sum();
  }

  private static Map<Kind, LongAdder> counters() {
    Map<Kind, LongAdder> m = new EnumMap<>(Kind.class);
    for (Kind k : Kind.values()) {
      m.put(k, new LongAdder());
    }
    return m;
  }

  private static List<LongAdder> adders() {
    List<LongAdder> l = new ArrayList<>();
    for (int i = 0; i < ACCOUNTS; i++) {
      l.add(new LongAdder());
    }
    return l;
  }
}
