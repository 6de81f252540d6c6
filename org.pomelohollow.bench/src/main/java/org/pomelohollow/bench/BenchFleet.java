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

/** Daemons, each on its own event loop, with their targets and a log, in this process. */
public final class BenchFleet implements AutoCloseable {
  /** Address that takes any free port. */
  public static final Endpoint ANY = new Endpoint("127.0.0.1", 0);

  private static final Duration PATIENCE = Duration.ofSeconds(30);
  private static final Duration POLL = Duration.ofMillis(20);

  private final LogStandIn log = LogStandIn.start(ANY);
  private final LoopResources loops = LoopResources.create("bench-log", 1, true);
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<TargetStandIn> targets = new ArrayList<>();
  private long version;

  /**
   * Adds a host.
   *
   * @param host its name
   * @param zone its availability zone
   * @param options gives the options of its target from the daemon's address
   */
  public void add(String host, String zone, Function<Endpoint, TargetOptions> options) {
    Settings s =
        new Settings(
            host,
            new ZoneId(zone),
            new Settings.Listen(ANY, ANY, ANY, ANY),
            log.address(),
            List.of(),
            PeerSecret.of("the bench's secret of peers"),
            Settings.Limits.DEFAULT,
            "warn");
    Daemon d = Daemon.start(s);
    daemons.add(d);
    targets.add(TargetStandIn.start(options.apply(d.targetAddress()), ANY, () -> {}));
  }

  /** Returns the daemons in the order of their hosts. */
  public List<Daemon> daemons() {
    return List.copyOf(daemons);
  }

  /** Returns the targets in the order of their hosts. */
  public List<TargetStandIn> targets() {
    return List.copyOf(targets);
  }

  /** Returns the log. */
  public LogStandIn log() {
    return log;
  }

  /**
   * Publishes a document and does not wait for it.
   *
   * @param text the document
   */
  public void publish(String text) {
    WireCodec codec = new WireCodec();
    ConfigProposal p = new ConfigProposal("bench-" + (version + 1), version, text);
    new HttpLogClient(log.address(), loops, codec)
        .append(LogStream.CONFIG.streamName(), codec.encode(p))
        .block(PATIENCE);
    version++;
  }

  /**
   * Waits until a condition holds.
   *
   * @param what the condition, for the error
   * @param condition the condition
   */
  public static void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + PATIENCE.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new PomelohollowException(ErrorCode.INTERNAL, "waited too long for " + what);
      }
      LockSupport.parkNanos(POLL.toNanos());
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
