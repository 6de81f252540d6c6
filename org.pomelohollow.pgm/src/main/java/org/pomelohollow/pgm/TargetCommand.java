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

/** Runs a stand-in for a target. */
final class TargetCommand implements Command {
  private static final int CRASH_STATUS = 70;
  private static final int CONNECTIONS_PER_SLOT = 8;

  @Override
  public String name() {
    return "stand-in target";
  }

  @Override
  public String summary() {
    return "run a stand-in for a target";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.accepts("listen", "address to bind").withRequiredArg().defaultsTo("127.0.0.1:0");
    parser.accepts("service", "service to announce").withRequiredArg().required();
    parser.accepts("daemon", "target side of its daemon").withRequiredArg();
    whole(parser, "slots", "requests that it works on at once", 20);
    whole(parser, "announced-slots", "slots that it announces, 0 for the true number", 0);
    whole(parser, "connections", "connections that it announces, 0 for 8 a slot", 0);
    parser
        .accepts("service-time-ms", "mean time of a request")
        .withRequiredArg()
        .ofType(Double.class)
        .defaultsTo(10.0);
    whole(parser, "cold-slots", "requests that it bears while cold, 0 for all", 0);
    whole(parser, "cold-ms", "time from its start until it is warm", 0);
    parser.accepts("announce-cold", "announce the cold start");
    parser.accepts("call", "path to call for each request under /chain").withRequiredArg();
    whole(parser, "seed", "seed of the service times", 1);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.setLevel("info");
    TargetStandIn t =
        TargetStandIn.start(
            options(options),
            Endpoint.parse((String) options.valueOf("listen")),
            () -> Runtime.getRuntime().halt(CRASH_STATUS));
    console.out().println("target " + t.address());
    console.out().flush();
    StopSignal.await(t::close);
    return ExitCode.DONE;
  }

  private static TargetOptions options(OptionSet o) {
    int slots = number(o, "slots");
    int announced = number(o, "announced-slots");
    int connections = number(o, "connections");
    int cold = number(o, "cold-slots");
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
        number(o, "cold-ms"),
        o.has("announce-cold"),
        calls,
        number(o, "seed"));
  }

  private static void whole(OptionParser parser, String name, String help, int fallback) {
    parser.accepts(name, help).withRequiredArg().ofType(Integer.class).defaultsTo(fallback);
  }

  private static int number(OptionSet o, String name) {
    return (Integer) o.valueOf(name);
  }
}
