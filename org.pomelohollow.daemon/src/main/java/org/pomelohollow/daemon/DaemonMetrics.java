package org.pomelohollow.daemon;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Metrics of a daemon. */
final class DaemonMetrics implements AutoCloseable {
  private static final String ANSWERED = "none";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private final Map<String, Timer> requests = new HashMap<>();
  private final Map<String, Counter> controls = new HashMap<>();

  PrometheusMeterRegistry registry() {
    return registry;
  }

  /** Shows the load of the target, the links and the version in force. */
  void watch(Supplier<TargetLoad> load, Supplier<Number> links, Supplier<Number> version) {
    gauge("pomelohollow.target.limit", () -> load.get().limit());
    gauge("pomelohollow.target.running", () -> load.get().inFlight());
    gauge("pomelohollow.target.queued", () -> load.get().queued());
    gauge("pomelohollow.links", links);
    gauge("pomelohollow.config.version", version);
  }

  void requestEnded(Verdict v, long nanos) {
    requests
        .computeIfAbsent(
            v.label() + ' ' + code(v),
            k ->
                Timer.builder("pomelohollow.requests")
                    .tag("verdict", v.label())
                    .tag("code", code(v))
                    .register(registry))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  void control(String direction, PeerMessage m, int bytes) {
    String type = m.getClass().getSimpleName();
    control("pomelohollow.control.bytes", direction, type).increment(bytes);
    control("pomelohollow.control.messages", direction, type).increment();
  }

  private Counter control(String name, String direction, String type) {
    return controls.computeIfAbsent(
        name + ' ' + direction + ' ' + type,
        k -> registry.counter(name, "direction", direction, "type", type));
  }

  void linkRejected() {
    registry.counter("pomelohollow.links.rejected").increment();
  }

  @Override
  public void close() {
    registry.close();
  }

  private void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  private static String code(Verdict v) {
    if (v instanceof Verdict.NotRun n) {
      return n.code().id();
    }
    return v instanceof Verdict.MayHaveRun m ? m.code().id() : ANSWERED;
  }
}
