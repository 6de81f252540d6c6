package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.platform.standin.Rehearsal;

/** Sends requests through two daemons on a stand-in of the users' platform, in this process. */
final class RehearseCommand implements Command {
  private static final String REQUESTS = "requests";
  private static final int DEFAULT_REQUESTS = 400;

  @Override
  public String name() {
    return "rehearse";
  }

  @Override
  public String summary() {
    return "serve requests between two daemons on a stand-in of the users' platform";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser
        .accepts(REQUESTS, "number of requests to send")
        .withRequiredArg()
        .ofType(Integer.class)
        .defaultsTo(DEFAULT_REQUESTS);
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Logging.toStandardError("info");
    Rehearsal.Result r = Rehearsal.run((Integer) options.valueOf(REQUESTS));
    console.out().println("served " + r.served() + " of " + r.sent() + " requests");
    return r.served() * 2 >= r.sent() ? ExitCode.DONE : ExitCode.FAILED;
  }
}
