package org.pomelohollow.pgm;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.daemon.internal.http.AdminServer;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;

/** Prints the active configuration document and the version that each given daemon has active. */
final class ShowCommand implements Command {
  private static final String LOG = "log";
  private static final String DAEMON = "daemon";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @Override
  public String name() {
    return "show";
  }

  @Override
  public String summary() {
    return "print the active document and the version that each daemon has active";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(LOG, "address of the log").withRequiredArg().required();
    parser.accepts(DAEMON, "admin address of a daemon; may be repeated").withRequiredArg();
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    try (ConfigLog log = new ConfigLog(Endpoint.parse((String) options.valueOf(LOG)))) {
      ConfigState s = log.readCurrent(TIMEOUT);
      console.out().println("# version " + s.version() + " change " + s.changeId());
      console.out().println(s.text());
    }
    boolean allReachable = true;
    for (Object o : options.valuesOf(DAEMON)) {
      allReachable &= printVersion(Endpoint.parse((String) o), console);
    }
    return allReachable ? ExitCode.DONE : ExitCode.FAILED;
  }

  private static boolean printVersion(Endpoint daemon, Console console) {
    try {
      console.out().println("# daemon " + daemon + " version " + readVersion(daemon));
      return true;
    } catch (IOException e) {
      console.printError(
          ErrorCode.UNREACHABLE,
          "the daemon at " + daemon + " cannot be reached or does not respond");
      return false;
    }
  }

  private static String readVersion(Endpoint daemon) throws IOException {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + daemon + "/config")).timeout(TIMEOUT).build();
    try {
      List<String> v =
          HttpClient.newHttpClient()
              .send(r, HttpResponse.BodyHandlers.discarding())
              .headers()
              .allValues(AdminServer.VERSION_HEADER);
      return v.isEmpty() ? "unknown" : v.get(0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PomelohollowException(
          ErrorCode.CANCELLED,
          "interrupted while reading the version of the daemon at " + daemon,
          e);
    }
  }
}
