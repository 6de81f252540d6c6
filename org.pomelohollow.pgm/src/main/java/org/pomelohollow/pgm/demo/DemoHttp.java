package org.pomelohollow.pgm.demo;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.pomelohollow.model.Endpoint;

/** HTTP client of the demo's callers and of its readers of counters and versions. */
final class DemoHttp {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private DemoHttp() {}

  /** Returns a request builder for a path, without an API key. */
  static HttpRequest.Builder request(Endpoint to, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + to + path)).timeout(TIMEOUT);
  }

  /** Returns a request builder for a path through the daemon of a host, with an API key. */
  static HttpRequest.Builder request(DemoFleet.Host entry, String account, String path) {
    return request(entry.daemon().address("callers"), path)
        .header("Authorization", "Bearer " + DemoFleet.apiKey(account));
  }

  /** Sends a request. If its connection breaks, the outcome has status 0. */
  static CompletableFuture<Outcome> send(HttpRequest r) {
    return CLIENT
        .sendAsync(r, BodyHandlers.ofString())
        .thenApply(Outcome::of)
        .exceptionally(t -> new Outcome(0, "", String.valueOf(t.getMessage())));
  }

  static Outcome sendAndWait(HttpRequest r) {
    return send(r).join();
  }

  static <T> HttpResponse<T> sendAndWait(HttpRequest r, HttpResponse.BodyHandler<T> handler)
      throws IOException, InterruptedException {
    return CLIENT.send(r, handler);
  }

  static String get(Endpoint to, String path) {
    return sendAndWait(request(to, path).build()).body();
  }

  /** Returns the active version of a daemon, or 0 if it has none or cannot be read. */
  static long readConfigVersion(Endpoint admin) {
    try {
      return CLIENT
          .send(request(admin, "/config").build(), BodyHandlers.discarding())
          .headers()
          .firstValueAsLong("Pomelo-Config-Version")
          .orElse(0);
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /**
   * Outcome of a request as its caller sees it.
   *
   * @param status HTTP status, 0 if the connection broke
   * @param verdict value of the header {@code Pomelo-Verdict}, empty if there is none
   * @param body response body, or the error message of the broken connection
   */
  record Outcome(int status, String verdict, String body) {
    private static Outcome of(HttpResponse<String> r) {
      String v = r.headers().firstValue("Pomelo-Verdict").orElse("");
      return new Outcome(r.statusCode(), v, r.body());
    }

    boolean isOk() {
      return status == 200;
    }
  }
}
