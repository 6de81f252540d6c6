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

/** HTTP of the demo's callers. */
final class DemoHttp {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private DemoHttp() {}

  static HttpRequest.Builder request(Endpoint to, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + to + path)).timeout(TIMEOUT);
  }

  static HttpRequest.Builder request(DemoFleet.Host at, String account, String path) {
    return request(at.daemon().address("callers"), path)
        .header("Authorization", "Bearer " + DemoFleet.key(account));
  }

  /** Sends a request; an answer without status 0 is a broken connection. */
  static CompletableFuture<Outcome> send(HttpRequest r) {
    return CLIENT
        .sendAsync(r, BodyHandlers.ofString())
        .thenApply(Outcome::of)
        .exceptionally(t -> new Outcome(0, "", String.valueOf(t.getMessage())));
  }

  static Outcome sendNow(HttpRequest r) {
    return send(r).join();
  }

  static <T> HttpResponse<T> sendNow(HttpRequest r, HttpResponse.BodyHandler<T> h)
      throws IOException, InterruptedException {
    return CLIENT.send(r, h);
  }

  static String get(Endpoint to, String path) {
    return sendNow(request(to, path).build()).body();
  }

  static long configVersion(Endpoint admin) {
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
   * Answer to a caller.
   *
   * @param status HTTP status, 0 if the connection broke
   * @param verdict verdict header, empty if there is none
   * @param body body, or what broke
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
