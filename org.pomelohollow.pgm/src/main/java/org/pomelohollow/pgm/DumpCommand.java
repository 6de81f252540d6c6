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

/** Shows the state of a daemon. */
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
    return "show the state of a daemon";
  }

  @Override
  public void declare(OptionParser parser) {
    parser.accepts(DAEMON, "admin address of the daemon").withRequiredArg().required();
    parser.accepts(JSON, "as JSON");
  }

  @Override
  public ExitCode run(OptionSet options, Console console) {
    Endpoint a = Endpoint.parse((String) options.valueOf(DAEMON));
    String path = options.has(JSON) ? "/dump.json" : "/dump";
    console.out().println(fetch(a, path));
    return ExitCode.DONE;
  }

  private static String fetch(Endpoint a, String path) {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + a + path)).timeout(TIMEOUT).build();
    try {
      return HttpClient.newHttpClient().send(r, HttpResponse.BodyHandlers.ofString()).body();
    } catch (IOException e) {
      throw new PomelohollowException(
          ErrorCode.UNREACHABLE, "the daemon at " + a + " does not answer", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PomelohollowException(ErrorCode.CANCELLED, "interrupted", e);
    }
  }
}
