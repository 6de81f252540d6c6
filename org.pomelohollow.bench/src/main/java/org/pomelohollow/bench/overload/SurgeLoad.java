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

/** Sends a load with a surge in the middle. The first account causes the surge. */
final class SurgeLoad {
  static final int ACCOUNT_COUNT = 8;
  static final Duration BEFORE_SURGE = Duration.ofSeconds(4);
  static final Duration SURGE = Duration.ofSeconds(8);
  static final Duration AFTER_SURGE = Duration.ofSeconds(8);

  /** Load before and after the surge, as a share of the capacity. */
  private static final double BASE_LOAD = 0.6;

  /** Load in the surge, as a multiple of the capacity. */
  private static final double SURGE_LOAD = 3;

  private static final long SEED = 1;

  private final Preset preset;
  private final List<Endpoint> entries;
  private final Caller caller;
  private final IntFunction<String> apiKeys;
  private final Timeline timeline =
      new Timeline(BEFORE_SURGE.plus(SURGE).plus(AFTER_SURGE).plusSeconds(5));
  private final SplittableRandom random = new SplittableRandom(SEED);
  private final Map<RequestKind, LongAdder> sentInSurge = countersByKind();
  private final Map<RequestKind, LongAdder> servedInSurge = countersByKind();
  private final List<LongAdder> sentInSurgeByAccount = countersByAccount();
  private final List<LongAdder> servedInSurgeByAccount = countersByAccount();
  private boolean surgeRunning;

  SurgeLoad(Preset preset, List<Endpoint> entries, Caller caller, IntFunction<String> apiKeys) {
    this.preset = preset;
    this.entries = entries;
    this.caller = caller;
    this.apiKeys = apiKeys;
  }

  /**
   * Runs the load up to the end of the surge and returns the result of the surge. The first account
   * sends four of five requests of the surge.
   */
  LoadResult runThroughSurge() throws InterruptedException {
    OpenLoop.run(BASE_LOAD * preset.capacity(), BEFORE_SURGE, SEED, i -> send(i, false));
    surgeRunning = true;
    LoadResult surgeResult =
        OpenLoop.run(SURGE_LOAD * preset.capacity(), SURGE, SEED, i -> send(i, i % 5 != 0));
    surgeRunning = false;
    return surgeResult;
  }

  /** Runs the load that follows the surge. */
  void runAfterSurge() throws InterruptedException {
    OpenLoop.run(BASE_LOAD * preset.capacity(), AFTER_SURGE, SEED, i -> send(i, false));
  }

  Timeline timeline() {
    return timeline;
  }

  /** Returns the share served of the requests of a kind that were sent in the surge. */
  double servedShare(RequestKind k) {
    return share(servedInSurge.get(k), sentInSurge.get(k));
  }

  /**
   * Returns the lowest share served of the requests that an account sent in the surge, among the
   * accounts that do not cause it.
   */
  double worstAccountShare() {
    double worst = 1;
    for (int i = 1; i < ACCOUNT_COUNT; i++) {
      worst = Math.min(worst, share(servedInSurgeByAccount.get(i), sentInSurgeByAccount.get(i)));
    }
    return worst;
  }

  private Mono<Outcome> send(long i, boolean aggressor) {
    RequestKind k = RequestKind.of(random.nextDouble());
    int account = aggressor ? 0 : 1 + (int) (i % (ACCOUNT_COUNT - 1));
    boolean counted = surgeRunning;
    if (counted) {
      sentInSurge.get(k).increment();
      sentInSurgeByAccount.get(account).increment();
    }
    Map<String, String> headers =
        Map.of(
            "Authorization",
            "Bearer " + apiKeys.apply(account),
            "Idempotency-Key",
            "k" + counted + i + "-" + timeline.hashCode(),
            "Stand-In-Mark",
            k.name());
    Endpoint entry = entries.get((int) (i % entries.size()));
    return caller
        .send(entry, k.method(), k.path(preset.service()), headers)
        .doOnNext(o -> recordOutcome(o, k, account, counted));
  }

  private void recordOutcome(Outcome o, RequestKind k, int account, boolean counted) {
    if (!o.isServed()) {
      return;
    }
    timeline.recordServed();
    if (counted) {
      servedInSurge.get(k).increment();
      servedInSurgeByAccount.get(account).increment();
    }
  }

  private static double share(LongAdder part, LongAdder whole) {
    return whole.sum() == 0 ? 1 : part.sum() / (double) whole.sum();
  }

  private static Map<RequestKind, LongAdder> countersByKind() {
    Map<RequestKind, LongAdder> m = new EnumMap<>(RequestKind.class);
    for (RequestKind k : RequestKind.values()) {
      m.put(k, new LongAdder());
    }
    return m;
  }

  private static List<LongAdder> countersByAccount() {
    List<LongAdder> l = new ArrayList<>();
    for (int i = 0; i < ACCOUNT_COUNT; i++) {
      l.add(new LongAdder());
    }
    return l;
  }
}
