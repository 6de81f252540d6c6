package org.pomelohollow.pgm;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;

/** Fetches the state dump of a daemon and prints it. */
final class DumpCommand implements Command {
  private static final String DAEMON = "daemon";
  private static final String JSON = "json";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  @Override
  public String name() {
    return "dump";
  }

  @Override
  public String summary() {
    return "print the state dump of a daemon";
  }

  @Override
  public void declareOptions(OptionParser parser) {
    parser.accepts(DAEMON, "admin address of the daemon").withRequiredArg().required();
    parser.accepts(JSON, "print the dump as JSON");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Endpoint admin = Endpoint.parse((String) options.valueOf(DAEMON));
    String path = options.has(JSON) ? "/dump.json" : "/dump";
    console.out().println(fetch(admin, path));
    return ExitCode.DONE;
  }

  private static String fetch(Endpoint admin, String path) {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + admin + path)).timeout(TIMEOUT).build();
    try {
      return HttpClient.newHttpClient().send(r, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      throw new PomelohollowException(
          ErrorCode.UNREACHABLE,
          "the daemon at " + admin + " cannot be reached or does not respond",
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PomelohollowException(
          ErrorCode.CANCELLED, "interrupted while reading the dump of the daemon at " + admin, e);
    }
  }
}
