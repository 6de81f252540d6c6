package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.standin.log.LogStandIn;

/** Runs the stand-in for the platform's log. */
final class LogCommand implements Command {
  private static final String LISTEN = "listen";

  @Override
  public String name() {
    return "stand-in log";
  }

  @Override
  public String summary() {
    return "run a stand-in for the platform's log";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.accepts(LISTEN, "address to bind").withRequiredArg().defaultsTo("127.0.0.1:0");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.setLevel("info");
    LogStandIn log = LogStandIn.start(Endpoint.parse((String) options.valueOf(LISTEN)));
    console.out().println("log " + log.address());
    console.out().flush();
    StopSignal.await(log::close);
    return ExitCode.DONE;
  }
}
