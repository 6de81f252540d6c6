package org.pomelohollow.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pomelohollow.decision.rollout.RolloutController;
import org.pomelohollow.decision.routing.ZoneSpill;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Registry of a daemon's metrics: requests, peer messages, links and the target's load. */
final class DaemonMetrics implements AutoCloseable {
  /** Value of the label {@code code} for a request with a response of its target. */
  private static final String NO_ERROR_CODE = "none";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private final Timer loopDelay = registry.timer("pomelohollow.loop.delay");
  private final Counter pausedReading = registry.counter("pomelohollow.callers.paused");
  private final Map<String, Timer> requestTimers = new HashMap<>();
  private final Map<String, Counter> messageCounters = new HashMap<>();
  private final Set<ServiceId> servicesOutside = new HashSet<>();

  PrometheusMeterRegistry registry() {
    return registry;
  }

  /**
   * Registers gauges, which call their suppliers at each scrape.
   *
   * @param load load of the target
   * @param links number of open links
   * @param version version of the active configuration
   * @param sharedServices number of services whose shares divide refusals between accounts
   * @param shareRefusals number of requests refused because of their accounts' shares
   * @param configAge time since that version was last known to be the newest, in milliseconds
   */
  void registerGauges(
      Supplier<TargetLoad> load,
      Supplier<Number> links,
      Supplier<Number> version,
      Supplier<Number> sharedServices,
      Supplier<Number> shareRefusals,
      Supplier<Number> configAge) {
    registerGauge("pomelohollow.target.limit", () -> load.get().limit());
    registerGauge("pomelohollow.target.running", () -> load.get().inFlight());
    registerGauge("pomelohollow.target.queued", () -> load.get().queued());
    registerGauge("pomelohollow.target.slowdown", () -> load.get().slowdown());
    registerGauge("pomelohollow.links", links);
    registerGauge("pomelohollow.config.version", version);
    registerGauge("pomelohollow.shares.services", sharedServices);
    registerGauge("pomelohollow.shares.refused", shareRefusals);
    registerGauge("pomelohollow.config.age.milliseconds", configAge);
  }

  /**
   * Registers the gauge of a target that fails many requests.
   *
   * @param failing whether it does
   */
  void registerTargetFailing(Supplier<Boolean> failing) {
    registerGauge("pomelohollow.target.failing", () -> failing.get() ? 1 : 0);
  }

  /**
   * Registers the metrics of version upgrades.
   *
   * @param r controller that counts them
   */
  void registerRollouts(RolloutController r) {
    registerGauge("pomelohollow.rollouts.running", r::runningCount);
    FunctionCounter.builder("pomelohollow.rollouts.ended", r, RolloutController::completedCount)
        .tag("state", "completed")
        .register(registry);
    FunctionCounter.builder("pomelohollow.rollouts.ended", r, RolloutController::rolledBackCount)
        .tag("state", "rolled_back")
        .register(registry);
  }

  void recordRequest(Verdict v, long durationNanos) {
    requestTimers
        .computeIfAbsent(
            v.label() + ' ' + errorCode(v),
            k ->
                Timer.builder("pomelohollow.requests")
                    .tag("verdict", v.label())
                    .tag("code", errorCode(v))
                    .register(registry))
        .record(durationNanos, TimeUnit.NANOSECONDS);
  }

  void recordMessage(String direction, PeerMessage m, int bytes) {
    String type = m.getClass().getSimpleName();
    messageCounter("pomelohollow.control.bytes", direction, type).increment(bytes);
    messageCounter("pomelohollow.control.messages", direction, type).increment();
  }

  private Counter messageCounter(String name, String direction, String type) {
    return messageCounters.computeIfAbsent(
        name + ' ' + direction + ' ' + type,
        k -> registry.counter(name, "direction", direction, "type", type));
  }

  void recordCancelledAttempt(boolean sent) {
    registry
        .counter("pomelohollow.target.cancelled", "stage", sent ? "running" : "queued")
        .increment();
  }

  /**
   * Registers counters of the attempts sent to other zones, for the services that have none yet.
   *
   * @param zones counts the attempts by service
   */
  void registerSentOutside(ZoneSpill zones) {
    for (ServiceId s : zones.servicesOutside()) {
      if (servicesOutside.add(s)) {
        FunctionCounter.builder("pomelohollow.zone.sent.outside", zones, z -> z.sentOutside(s))
            .tag("service", s.value())
            .register(registry);
      }
    }
  }

  void recordPausedReading() {
    pausedReading.increment();
  }

  void recordLoopDelay(long delayNanos) {
    loopDelay.record(delayNanos, TimeUnit.NANOSECONDS);
  }

  void recordRejectedLink() {
    registry.counter("pomelohollow.links.rejected").increment();
  }

  @Override
  public void close() {
    registry.close();
  }

  private void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  private static String errorCode(Verdict v) {
    if (v instanceof Verdict.NotRun n) {
      return n.code().id();
    }
    return v instanceof Verdict.MayHaveRun m ? m.code().id() : NO_ERROR_CODE;
  }
}
