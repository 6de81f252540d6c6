package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.standin.log.LogStandIn;

/** Runs an in-memory stand-in for the platform's append-only log. */
final class StandInLogCommand implements Command {
  private static final String LISTEN = "listen";

  @Override
  public String name() {
    return "stand-in log";
  }

  @Override
  public String summary() {
    return "run an in-memory stand-in for the platform's log";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(LISTEN, "address to bind").withRequiredArg().defaultsTo("127.0.0.1:0");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("info");
    LogStandIn log = LogStandIn.start(Endpoint.parse((String) options.valueOf(LISTEN)));
    console.out().println("log " + log.address());
    console.out().flush();
    ShutdownSignal.await(log::close);
    return ExitCode.DONE;
  }
}
