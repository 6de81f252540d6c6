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

/** Round-robin reverse proxy without the decisions of this project, for comparison. */
final class BaselineProxy implements AutoCloseable {
  private static final int MAX_RETRIES = 3;
  private static final int MIN_FAILURE_STATUS = 500;
  private static final int MAX_CONNECTIONS = 4_000;

  private final LoopResources loops = LoopResources.create("baseline", 1, true);
  private final HttpClient http;
  private final List<Endpoint> targets;
  private final int limitPerTarget;
  private final int retries;
  private final AtomicInteger nextTarget = new AtomicInteger();
  private final AtomicIntegerArray inFlight;
  private final DisposableServer server;

  private BaselineProxy(List<Endpoint> targets, int limitPerTarget, int retries) {
    this.targets = targets;
    this.limitPerTarget = limitPerTarget;
    this.retries = retries;
    this.inFlight = new AtomicIntegerArray(targets.size());
    ConnectionProvider pool =
        ConnectionProvider.builder("baseline")
            .maxConnections(MAX_CONNECTIONS)
            .pendingAcquireMaxCount(-1)
            .build();
    this.http = HttpClient.create(pool).disableRetry(true).runOn(loops);
    this.server =
        HttpServer.create()
            .runOn(loops)
            .host(BenchFleet.ANY_PORT.address())
            .port(0)
            .handle(this::serve)
            .bindNow();
  }

  /** Starts the proxy of a baseline mode; the fixed limit per target is its slots. */
  static BaselineProxy start(Mode mode, List<Endpoint> targets, int slots) {
    return mode == Mode.STATIC_LIMIT
        ? new BaselineProxy(targets, slots, 0)
        : new BaselineProxy(targets, Integer.MAX_VALUE, MAX_RETRIES);
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

  private Mono<Integer> attempt(HttpServerRequest req, int retriesLeft) {
    int i = Math.floorMod(nextTarget.getAndIncrement(), targets.size());
    if (inFlight.get(i) >= limitPerTarget) {
      return Mono.just(HttpResponseStatus.SERVICE_UNAVAILABLE.code());
    }
    inFlight.incrementAndGet(i);
    return http.headers(h -> h.set("Stand-In-Mark", req.requestHeaders().get("Stand-In-Mark", "")))
        .request(req.method())
        .uri("http://" + targets.get(i) + req.uri())
        .responseSingle((r, b) -> b.asByteArray().thenReturn(r.status().code()))
        .onErrorReturn(HttpResponseStatus.BAD_GATEWAY.code())
        .doFinally(s -> inFlight.decrementAndGet(i))
        .flatMap(
            s ->
                s >= MIN_FAILURE_STATUS && retriesLeft > 0
                    ? attempt(req, retriesLeft - 1)
                    : Mono.just(s));
  }
}
