package org.pomelohollow.pgm;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.standin.target.TargetOptions;
import org.pomelohollow.standin.target.TargetStandIn;

/** Runs a stand-in for a target, which serves requests with simulated service times. */
final class StandInTargetCommand implements Command {
  /** Exit status after a request asked for a crash. */
  private static final int CRASH_STATUS = 70;

  private static final int CONNECTIONS_PER_SLOT = 8;

  @Override
  public String name() {
    return "stand-in target";
  }

  @Override
  public String summary() {
    return "run a stand-in for a target, with simulated service times";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts("listen", "address to bind").withRequiredArg().defaultsTo("127.0.0.1:0");
    parser.accepts("service", "service that it announces").withRequiredArg().required();
    parser
        .accepts(
            "daemon",
            "address at which its daemon listens for targets; by default nothing is announced")
        .withRequiredArg();
    integerOption(parser, "slots", "requests that it runs concurrently; the others wait", 20);
    integerOption(parser, "announced-slots", "slots that it announces; 0 announces --slots", 0);
    integerOption(
        parser, "connections", "connections that it announces; 0 announces 8 per slot", 0);
    parser
        .accepts("service-time-ms", "mean service time of a request, in milliseconds")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(10.0);
    integerOption(
        parser,
        "cold-slots",
        "concurrent requests in cold start that it serves without slowdown; 0 for --slots",
        0);
    integerOption(parser, "cold-ms", "length of its cold start, in milliseconds", 0);
    parser.accepts("announce-cold", "announce that it is in cold start");
    parser
        .accepts(
            "call",
            "path to call through the daemon for each request under /chain; may be repeated")
        .withRequiredArg();
    integerOption(parser, "seed", "seed of the random service times", 1);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("info");
    TargetStandIn t =
        TargetStandIn.start(
            options(options),
            Endpoint.parse((String) options.valueOf("listen")),
            () -> Runtime.getRuntime().halt(CRASH_STATUS));
    console.out().println("target " + t.address());
    console.out().flush();
    ShutdownSignal.await(t::close);
    return ExitCode.DONE;
  }

  private static TargetOptions options(OptionSet o) {
    int slots = integer(o, "slots");
    int announced = integer(o, "announced-slots");
    int connections = integer(o, "connections");
    int cold = integer(o, "cold-slots");
    List<String> calls = new ArrayList<>();
    o.valuesOf("call").forEach(c -> calls.add((String) c));
    return new TargetOptions(
        new ServiceId((String) o.valueOf("service")),
        Optional.ofNullable((String) o.valueOf("daemon")).map(Endpoint::parse),
        slots,
        announced == 0 ? slots : announced,
        connections == 0 ? slots * CONNECTIONS_PER_SLOT : connections,
        (Double) o.valueOf("service-time-ms"),
        cold == 0 ? slots : cold,
        integer(o, "cold-ms"),
        o.has("announce-cold"),
        calls,
        integer(o, "seed"));
  }

  private static void integerOption(
      OptionParser parser, String name, String help, int defaultValue) {
    parser.accepts(name, help).withRequiredArg().ofType(Integer.class).defaultsTo(defaultValue);
  }

  private static int integer(OptionSet o, String name) {
    return (Integer) o.valueOf(name);
  }
}
