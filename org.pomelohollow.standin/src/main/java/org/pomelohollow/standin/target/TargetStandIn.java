package org.pomelohollow.standin.target;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.AnnouncementBody;
import org.pomelohollow.wire.HttpNames;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Stand-in for a target, with a fixed number of slots and random service times. Query parameters
 * shape the response: {@code bytes} sets its length in bytes, {@code status} its status, and {@code
 * chunked} selects chunked framing. A path that ends in {@code /echo} returns the request's line,
 * headers and body.
 */
public final class TargetStandIn implements AutoCloseable {
  /** Header that marks requests; runs are counted for each value. */
  public static final String MARK_HEADER = "Stand-In-Mark";

  /** Value of {@link #MARK_HEADER} that makes the target crash. */
  public static final String CRASH_MARK = "crash";

  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int MIN_FAILURE_STATUS = 400;
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

  private final TargetOptions options;
  private final Runnable crash;
  private final TargetCounts counts = new TargetCounts();
  private final SlotQueue slots;
  private final SplittableRandom random;
  private final LoopResources loops = LoopResources.create("target-stand-in", 1, true);
  private final long startedNanos = System.nanoTime();
  private final String instance = Long.toHexString(System.nanoTime());
  private volatile TargetFaults faults = TargetFaults.NONE;
  private DisposableServer server;
  private Optional<DaemonClient> daemonClient = Optional.empty();

  private TargetStandIn(TargetOptions options, Runnable crash) {
    this.options = options;
    this.crash = crash;
    this.slots = new SlotQueue(options.slots());
    this.random = new SplittableRandom(options.seed());
  }

  /**
   * Starts a target, which announces itself to its daemon if it has one.
   *
   * @param options how it behaves
   * @param address address to bind; port 0 selects any free port
   * @param crash simulates a crash when a request carries {@link #CRASH_MARK}
   * @return the running target
   */
  public static TargetStandIn start(TargetOptions options, Endpoint address, Runnable crash) {
    TargetStandIn t = new TargetStandIn(options, crash);
    t.server =
        HttpServer.create()
            .runOn(t.loops)
            .host(address.address())
            .port(address.port())
            .handle(t::serve)
            .bindNow();
    t.daemonClient =
        options.daemon().map(d -> new DaemonClient(d, t.loops, t::announcement, t::isSilent));
    t.daemonClient.ifPresent(DaemonClient::startAnnouncing);
    Logger.info("target stand-in: {} listening on {}", options.service(), t.address());
    return t;
  }

  /** Returns the bound address. */
  public Endpoint address() {
    return new Endpoint(
        ((InetSocketAddress) server.address()).getAddress().getHostAddress(), server.port());
  }

  /** Returns the counters of the requests received. */
  public TargetCounts counts() {
    return counts;
  }

  /**
   * Sets the faults.
   *
   * @param f the faults
   */
  public void setFaults(TargetFaults f) {
    faults = f;
  }

  /** Returns the active faults. */
  public TargetFaults faults() {
    return faults;
  }

  /** Withdraws from the daemon and stops announcing; running requests continue. */
  public void withdraw() {
    daemonClient.ifPresent(DaemonClient::withdraw);
  }

  /** Blocks until the target has stopped. */
  public void await() {
    server.onDispose().block();
  }

  /** Stops immediately, as in a crash: connections break and the target is not withdrawn. */
  @Override
  public void close() {
    daemonClient.ifPresent(DaemonClient::stopAnnouncing);
    server.disposeNow(CLOSE_TIMEOUT);
    loops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block();
  }

  private AnnouncementBody announcement() {
    return new AnnouncementBody(
        options.service().value(),
        address().toString(),
        instance,
        options.announcedSlots(),
        options.connections(),
        options.announcesCold() && isCold(),
        reportedLoad());
  }

  private double reportedLoad() {
    double r = faults.reportedLoad();
    return r >= 0 ? r : Math.min(1, counts.running() / (double) options.slots());
  }

  private boolean isSilent() {
    return faults.silent();
  }

  private boolean isCold() {
    return Duration.ofNanos(System.nanoTime() - startedNanos).toMillis() < options.coldMillis();
  }

  private Publisher<Void> serve(HttpServerRequest req, HttpServerResponse res) {
    if (req.fullPath().startsWith("/-/")) {
      return TargetControl.serve(this, req, res);
    }
    if (faults.shedsAll()) {
      counts.recordRefusal();
      return res.status(UNAVAILABLE).header(HttpNames.VERDICT, "not-run").send();
    }
    if (req.requestHeaders().contains(HttpNames.AUTHORIZATION)) {
      counts.recordApiKey();
    }
    Optional.ofNullable(req.requestHeaders().get(MARK_HEADER)).ifPresent(this::countMark);
    return run(req, res);
  }

  private void countMark(String mark) {
    counts.recordMark(mark);
    if (mark.equals(CRASH_MARK) && faults.crashesOnMark()) {
      Logger.warn("target stand-in: crashing at the request of a caller");
      crash.run();
    }
  }

  private Publisher<Void> run(HttpServerRequest req, HttpServerResponse res) {
    Duration time = randomServiceTime();
    counts.recordStart(isCold());
    RunTimer timer = new RunTimer();
    Mono<Void> done =
        Mono.usingWhen(
            slots.acquire(),
            ok -> delay(time).then(respond(req, res)),
            ok -> Mono.fromRunnable(slots::release));
    return done.doOnTerminate(timer::complete).doOnCancel(timer::cancel);
  }

  private static Mono<Long> delay(Duration time) {
    return time.isZero() ? Mono.just(0L) : Mono.delay(time);
  }

  /**
   * Draws a service time: half of the mean plus an exponentially distributed half. In cold start
   * the mean grows in proportion to the requests beyond the cold slots.
   */
  private Duration randomServiceTime() {
    double meanMillis = options.serviceTimeMillis() * faults.slowdown();
    if (isCold()) {
      int excess = counts.running() + 1 - options.coldSlots();
      meanMillis *= 1 + Math.max(0, excess);
    }
    double factor;
    synchronized (random) {
      factor = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
    }
    return Duration.ofNanos((long) (meanMillis * factor * 1e6));
  }

  private Mono<Void> respond(HttpServerRequest req, HttpServerResponse res) {
    Map<String, List<String>> q = new QueryStringDecoder(req.uri()).parameters();
    res.status((int) number(q, "status", 200));
    Optional.ofNullable(req.requestHeaders().get(HttpNames.REQUEST_ID))
        .ifPresent(id -> res.header(HttpNames.REQUEST_ID, id));
    if (req.fullPath().endsWith("/echo")) {
      return Echo.respond(req, res);
    }
    return req.receive()
        .then(makeCalls(req))
        .flatMap(ok -> ok ? sendPayload(res, q) : sendBadGateway(res));
  }

  /**
   * Makes the outbound calls of a request under {@code /chain} and returns whether all succeeded.
   */
  private Mono<Boolean> makeCalls(HttpServerRequest req) {
    if (daemonClient.isEmpty() || !req.fullPath().contains("/chain")) {
      return Mono.just(true);
    }
    String id = req.requestHeaders().get(HttpNames.REQUEST_ID, "");
    DaemonClient client = daemonClient.get();
    return Flux.fromIterable(options.calledPaths())
        .concatMap(p -> client.call(p, id))
        .all(s -> s < MIN_FAILURE_STATUS);
  }

  private static Mono<Void> sendBadGateway(HttpServerResponse res) {
    return res.status(BAD_GATEWAY).send();
  }

  private Mono<Void> sendPayload(HttpServerResponse res, Map<String, List<String>> q) {
    long bytes = number(q, "bytes", 0);
    if (bytes == 0) {
      byte[] text = ("answer of " + options.service() + "\n").getBytes(StandardCharsets.UTF_8);
      res.header("Content-Length", Integer.toString(text.length));
      return res.send(Mono.just(Unpooled.wrappedBuffer(text))).then();
    }
    if (!q.containsKey("chunked")) {
      res.header("Content-Length", Long.toString(bytes));
    }
    long sent = faults.truncatesResponses() ? bytes / 2 : bytes;
    Flux<ByteBuf> body = Payload.of(sent, CHUNK_BYTES);
    if (faults.truncatesResponses()) {
      body =
          body.concatWith(
              Mono.error(new IllegalStateException("response is truncated by fault injection")));
    }
    return res.send(body).then();
  }

  private static long number(Map<String, List<String>> q, String name, long defaultValue) {
    return q.containsKey(name) ? Long.parseLong(q.get(name).get(0)) : defaultValue;
  }

  /** Records the end of one request and the time since its start. */
  private final class RunTimer {
    private final long runStartNanos = System.nanoTime();

    void complete() {
      counts.recordCompletion(System.nanoTime() - runStartNanos);
    }

    void cancel() {
      counts.recordCancellation(System.nanoTime() - runStartNanos);
    }
  }
}
