package org.pomelohollow.bench.overload;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.pomelohollow.bench.BenchFleet;
import org.pomelohollow.model.Endpoint;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Entry without the decisions of this project, for comparison. */
final class BaselineEntry implements AutoCloseable {
  private static final int BLIND_RETRIES = 3;
  private static final int FAILURE = 500;
  private static final int CONNECTIONS = 4_000;

  private final LoopResources loops = LoopResources.create("baseline", 1, true);
  private final HttpClient http;
  private final List<Endpoint> targets;
  private final int limit;
  private final int retries;
  private final AtomicInteger next = new AtomicInteger();
  private final AtomicIntegerArray inFlight;
  private final DisposableServer server;

  private BaselineEntry(List<Endpoint> targets, int limit, int retries) {
    this.targets = targets;
    this.limit = limit;
    this.retries = retries;
    this.inFlight = new AtomicIntegerArray(targets.size());
    ConnectionProvider pool =
        ConnectionProvider.builder("baseline")
            .maxConnections(CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .build();
    this.http = HttpClient.create(pool).disableRetry(true).runOn(loops);
    this.server =
        HttpServer.create()
            .runOn(loops)
            .host(BenchFleet.ANY.address())
            .port(0)
            .handle(this::serve)
            .bindNow();
  }

  static BaselineEntry start(Mode mode, List<Endpoint> targets, int slots) {
    return mode == Mode.STATIC_LIMIT
        ? new BaselineEntry(targets, slots, 0)
        : new BaselineEntry(targets, Integer.MAX_VALUE, BLIND_RETRIES);
  }

  Endpoint address() {
    InetSocketAddress a = (InetSocketAddress) server.address();
    return new Endpoint(a.getAddress().getHostAddress(), a.getPort());
  }

  @Override
  public void close() {
    server.disposeNow();
    loops.dispose();
  }

  private Publisher<Void> serve(HttpServerRequest req, HttpServerResponse res) {
    return attempt(req, retries).flatMap(s -> res.status(s).send());
  }

  private Mono<Integer> attempt(HttpServerRequest req, int left) {
    int i = Math.floorMod(next.getAndIncrement(), targets.size());
    if (inFlight.get(i) >= limit) {
      return Mono.just(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
    }
    inFlight.incrementAndGet(i);
    return http.headers(h -> h.set("Stand-In-Mark", req.requestHeaders().get("Stand-In-Mark", "")))
        .request(req.method())
        .uri("http://" + targets.get(i) + req.uri())
        .responseSingle((r, b) -> b.asByteArray().thenReturn(r.status().code()))
        .onErrorReturn(HttpResponseStatus.BAD_GATEWAY.code())
        .doFinally(s -> inFlight.decrementAndGet(i))
        .flatMap(s -> s >= FAILURE && left > 0 ? attempt(req, left - 1) : Mono.just(s));
  }
}
