package org.pomelohollow.bench.load;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.HttpNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** HTTP client that sends requests as a caller does. */
public final class Caller implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 2_000;
  private static final int EVENT_LOOP_THREADS = 2;

  private final LoopResources loops = LoopResources.create("caller", EVENT_LOOP_THREADS, true);
  private final HttpClient http =
      HttpClient.create(
              ConnectionProvider.builder("caller")
                  .maxConnections(MAX_CONNECTIONS)
                  .pendingAcquireMaxCount(-1)
                  .build())
          .disableRetry(true)
          .runOn(loops);

  private final Duration timeout;

  /**
   * Creates a caller.
   *
   * @param timeout time after which it gives up a request
   */
  public Caller(Duration timeout) {
    this.timeout = timeout;
  }

  /**
   * Sends a request.
   *
   * @param to address of a daemon or a target
   * @param method HTTP method
   * @param path path and query
   * @param headers header fields
   * @return the outcome, once the response was received completely
   */
  public Mono<Outcome> send(
      Endpoint to, HttpMethod method, String path, Map<String, String> headers) {
    return http.headers(h -> headers.forEach(h::set))
        .request(method)
        .uri("http://" + to + path)
        .responseSingle((r, b) -> b.asByteArray().then(Mono.fromSupplier(() -> outcome(r))))
        .timeout(timeout);
  }

  private static Outcome outcome(HttpClientResponse r) {
    return new Outcome(
        r.status().code(), "not-run".equals(r.responseHeaders().get(HttpNames.VERDICT)));
  }

  @Override
  public void close() {
    loops.dispose();
  }
}
