package org.pomelohollow.daemon;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.pomelohollow.daemon.settings.Settings;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** The steps of a daemon's graceful shutdown and the time that each may take. */
final class GracefulShutdown {
  private static final Duration DEFAULT_ACCEPT_PERIOD = Duration.ofMillis(1_500);
  private static final Duration DEFAULT_UPLOAD_PERIOD = Duration.ofMillis(500);

  /**
   * Share of the platform's grace during which new connections are still accepted after a shutdown
   * has begun. The platform notices a daemon that is no longer ready within 2 s of a grace of 6 s.
   */
  private static final int ACCEPT_PERCENT_OF_GRACE = 45;

  /**
   * Share of the platform's grace during which requests that have started may still send the rest
   * of their bodies. A request that is complete after half of the grace must not be cut by its end.
   */
  private static final int UPLOAD_PERCENT_OF_GRACE = 5;

  /**
   * Share of the platform's grace for finishing requests. Only in the last sixth of the grace may a
   * request be cut at which its target still works.
   */
  private static final int DRAIN_PERCENT_OF_GRACE = 35;

  /**
   * Share of the platform's grace for sending the final messages to peers. Together with the time
   * of accepting connections and the time to drain it stays within the grace.
   */
  private static final int FINAL_MESSAGES_PERCENT_OF_GRACE = 4;

  private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration DEFAULT_FINAL_MESSAGES_PERIOD = Duration.ofSeconds(1);
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  private final Settings settings;
  private final Scheduler loop;
  private final Steps steps;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param settings settings of the daemon
   * @param loop event loop, on which all steps but the last run
   * @param steps what the daemon does in each step
   */
  GracefulShutdown(Settings settings, Scheduler loop, Steps steps) {
    this.settings = settings;
    this.loop = loop;
    this.steps = steps;
  }

  /**
   * Announces the shutdown to peers, accepts connections for a while so that callers learn to use
   * another daemon, waits for request bodies, running requests and the handover of claims, responds
   * to the requests that are left, sends the final messages to peers and closes.
   *
   * @return completes when the daemon has closed
   */
  Mono<Void> run() {
    return Mono.<Void>fromRunnable(steps::begin)
        .subscribeOn(loop)
        .then(Mono.delay(acceptPeriod(), loop))
        .then(Mono.fromRunnable(steps::stopAccepting))
        .then(whenTrue(steps::isDrained).timeout(uploadPeriod(), Mono.empty()))
        .then(Mono.fromRunnable(steps::abortUploads).subscribeOn(loop))
        .then(whenTrue(steps::isDrained).timeout(drainPeriod(), Mono.empty()))
        .then(Mono.fromRunnable(steps::refuseRemaining).subscribeOn(loop))
        .then(whenTrue(steps::isHandedOver).timeout(HANDOVER_TIMEOUT, Mono.empty()))
        .then(Mono.delay(finalMessagesPeriod(), loop))
        .then(Mono.fromRunnable(steps::close).subscribeOn(Schedulers.boundedElastic()))
        .then();
  }

  private Duration acceptPeriod() {
    return percentOfGrace(ACCEPT_PERCENT_OF_GRACE).orElse(DEFAULT_ACCEPT_PERIOD);
  }

  private Duration uploadPeriod() {
    return percentOfGrace(UPLOAD_PERCENT_OF_GRACE).orElse(DEFAULT_UPLOAD_PERIOD);
  }

  private Duration drainPeriod() {
    return percentOfGrace(DRAIN_PERCENT_OF_GRACE).orElse(settings.limits().drainTimeout());
  }

  private Duration finalMessagesPeriod() {
    return percentOfGrace(FINAL_MESSAGES_PERCENT_OF_GRACE).orElse(DEFAULT_FINAL_MESSAGES_PERIOD);
  }

  private Optional<Duration> percentOfGrace(int percent) {
    return settings.platform().map(p -> p.grace().multipliedBy(percent).dividedBy(100));
  }

  /** Polls a condition on the event loop and completes when it holds. */
  private Mono<Void> whenTrue(BooleanSupplier condition) {
    return Mono.fromSupplier(condition::getAsBoolean)
        .subscribeOn(loop)
        .filter(done -> done)
        .repeatWhenEmpty(n -> n.delayElements(DRAIN_POLL_INTERVAL, loop))
        .then();
  }

  /** What a daemon does in each step of its shutdown. */
  interface Steps {
    /** Announces the shutdown to peers. New requests are still accepted. */
    void begin();

    /** Stops accepting connections and further requests. */
    void stopAccepting();

    /** Ends the requests whose bodies are still being received. */
    void abortUploads();

    /** Responds to the requests that are still open, before their connections are closed. */
    void refuseRemaining();

    /** Returns whether no request runs any more and all responses have been sent. */
    boolean isDrained();

    /** Returns whether the daemon's claims have been handed over to others. */
    boolean isHandedOver();

    /** Closes the daemon at once. */
    void close();
  }
}
