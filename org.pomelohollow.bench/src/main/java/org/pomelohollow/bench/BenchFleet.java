package org.pomelohollow.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.pomelohollow.daemon.Daemon;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ZoneId;
import org.pomelohollow.standin.log.LogStandIn;
import org.pomelohollow.standin.target.TargetOptions;
import org.pomelohollow.standin.target.TargetStandIn;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.netty.resources.LoopResources;

/** Daemons, each with its own event loop, their targets and a log, all in this process. */
public final class BenchFleet implements AutoCloseable {
  /** Loopback address with port 0, which binds any free port. */
  public static final Endpoint ANY_PORT = new Endpoint("127.0.0.1", 0);

  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration POLL_PERIOD = Duration.ofMillis(20);

  private final LogStandIn log = LogStandIn.start(ANY_PORT);
  private final LoopResources loops = LoopResources.create("bench-log", 1, true);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<TargetStandIn> targets = new ArrayList<>();
  private long version;

  /**
   * Starts the daemon and the target of a new host.
   *
   * @param host name of the host
   * @param zone availability zone of the host
   * @param options returns the options of the target, given the address at which the daemon listens
   *     for targets
   */
  public void add(String host, String zone, Function<Endpoint, TargetOptions> options) {
    Settings s =
        new Settings(
            host,
            new ZoneId(zone),
            new Settings.Listen(ANY_PORT, ANY_PORT, ANY_PORT, ANY_PORT),
            log.address(),
            List.of(),
            PeerSecret.of("the bench's secret of peers"),
            Settings.Limits.DEFAULT,
            "warn");
    Daemon d = Daemon.start(s);
    daemons.add(d);
    targets.add(TargetStandIn.start(options.apply(d.targetAddress()), ANY_PORT, () -> {}));
  }

  /** Returns the daemons in the order in which their hosts were added. */
  public List<Daemon> daemons() {
    return List.copyOf(daemons);
  }

  /** Returns the targets in the order in which their hosts were added. */
  public List<TargetStandIn> targets() {
    return List.copyOf(targets);
  }

  /** Returns the log. */
  public LogStandIn log() {
    return log;
  }

  /**
   * Publishes a document, without waiting until it is active in the daemons.
   *
   * @param text the document
   */
  public void publish(String text) {
    WireCodec codec = new WireCodec();
    ConfigProposal p = new ConfigProposal("bench-" + (version + 1), version, text);
    new HttpLogClient(log.address(), loops, codec)
        .append(LogStream.CONFIG.streamName(), codec.encode(p))
        .block(TIMEOUT);
    version++;
  }

  /**
   * Waits until a condition holds.
   *
   * @param what name of the condition, for the error message
   * @param condition the condition
   * @throws PomelohollowException if it does not hold within 30 s
   */
  public static void await(String what, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new PomelohollowException(
            ErrorCode.INTERNAL, "waited more than " + TIMEOUT.toSeconds() + " s for " + what);
      }
      LockSupport.parkNanos(POLL_PERIOD.toNanos());
    }
  }

  @Override
  public void close() {
    targets.forEach(TargetStandIn::close);
    daemons.forEach(Daemon::close);
    log.close();
    loops.dispose();
  }
}
