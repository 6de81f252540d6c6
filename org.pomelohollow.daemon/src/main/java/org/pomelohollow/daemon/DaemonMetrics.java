package org.pomelohollow.daemon;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;

/** Metrics of a daemon. */
final class DaemonMetrics implements AutoCloseable {
  private static final String ANSWERED = "none";

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

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
    Timer.builder("pomelohollow.requests")
        .tag("verdict", v.label())
        .tag("code", code(v))
        .register(registry)
        .record(Duration.ofNanos(nanos));
  }

  void control(String direction, PeerMessage m, int bytes) {
    String type = m.getClass().getSimpleName();
    registry
        .counter("pomelohollow.control.bytes", "direction", direction, "type", type)
        .increment(bytes);
    registry
        .counter("pomelohollow.control.messages", "direction", direction, "type", type)
        .increment();
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
