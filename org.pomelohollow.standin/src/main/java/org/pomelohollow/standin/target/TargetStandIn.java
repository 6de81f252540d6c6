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
 * Target with slots and service times. Query parameters shape an answer: {@code bytes} its length,
 * {@code status} its status, {@code chunked} its framing; a path that ends in {@code /echo} answers
 * with the request's line, headers and body.
 */
public final class TargetStandIn implements AutoCloseable {
  /** Header whose values are counted, and which can ask for a crash. */
  public static final String MARK_HEADER = "Stand-In-Mark";

  /** Value of {@link #MARK_HEADER} that ends the target. */
  public static final String CRASH_MARK = "crash";

  private static final int UNAVAILABLE = 503;
  private static final int BAD_GATEWAY = 502;
  private static final int FAILURE = 400;
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
  private Optional<Announcer> announcer = Optional.empty();

  private TargetStandIn(TargetOptions options, Runnable crash) {
    this.options = options;
    this.crash = crash;
    this.slots = new SlotQueue(options.slots());
    this.random = new SplittableRandom(options.seed());
  }

  /**
   * Starts a target that announces itself.
   *
   * @param options how it behaves
   * @param address address to bind; port 0 takes any free port
   * @param crash ends the process when a request asks for a crash
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
    t.announcer =
        options.daemon().map(d -> new Announcer(d, t.loops, t::announcement, t::isSilent));
    t.announcer.ifPresent(Announcer::start);
    Logger.info("target stand-in: {} listening on {}", options.service(), t.address());
    return t;
  }

  /** Returns the bound address. */
  public Endpoint address() {
    return new Endpoint(
        ((InetSocketAddress) server.address()).getAddress().getHostAddress(), server.port());
  }

  /** Returns what the target has seen. */
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

  /** Returns the faults in force. */
  public TargetFaults faults() {
    return faults;
  }

  /** Withdraws from the daemon and stops announcing; running requests go on. */
  public void withdraw() {
    announcer.ifPresent(Announcer::withdraw);
  }

  /** Waits until the target has stopped. */
  public void await() {
    server.onDispose().block();
  }

  /** Stops at once, as a crash does: connections break and nothing is withdrawn. */
  @Override
  public void close() {
    announcer.ifPresent(Announcer::stop);
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
    if (faults.sheds()) {
      counts.refuse();
      return res.status(UNAVAILABLE).header(HttpNames.VERDICT, "not-run").send();
    }
    if (req.requestHeaders().contains(HttpNames.AUTHORIZATION)) {
      counts.seeKey();
    }
    Optional.ofNullable(req.requestHeaders().get(MARK_HEADER)).ifPresent(this::countMark);
    return work(req, res);
  }

  private void countMark(String mark) {
    counts.mark(mark);
    if (mark.equals(CRASH_MARK) && faults.crashesOnMark()) {
      Logger.warn("target stand-in: a request asked for a crash");
      crash.run();
    }
  }

  private Publisher<Void> work(HttpServerRequest req, HttpServerResponse res) {
    Duration time = serviceTime();
    counts.start(isCold());
    Run run = new Run();
    Mono<Void> done =
        Mono.usingWhen(
            slots.acquire(),
            ok -> serve(time).then(answer(req, res)),
            ok -> Mono.fromRunnable(slots::release));
    return done.doOnTerminate(run::complete).doOnCancel(run::cancel);
  }

  private static Mono<Long> serve(Duration time) {
    return time.isZero() ? Mono.just(0L) : Mono.delay(time);
  }

  private Duration serviceTime() {
    double mean = options.serviceTimeMillis() * faults.slowdown();
    if (isCold()) {
      int over = counts.running() + 1 - options.coldSlots();
      mean *= 1 + Math.max(0, over);
    }
    double factor;
    synchronized (random) {
      factor = 0.5 - 0.5 * Math.log(1 - random.nextDouble());
    }
    return Duration.ofNanos((long) (mean * factor * 1e6));
  }

  private Mono<Void> answer(HttpServerRequest req, HttpServerResponse res) {
    Map<String, List<String>> q = new QueryStringDecoder(req.uri()).parameters();
    res.status((int) number(q, "status", 200));
    Optional.ofNullable(req.requestHeaders().get(HttpNames.REQUEST_ID))
        .ifPresent(id -> res.header(HttpNames.REQUEST_ID, id));
    if (req.fullPath().endsWith("/echo")) {
      return Echo.answer(req, res);
    }
    return req.receive()
        .then(callOthers(req))
        .flatMap(ok -> ok ? plainAnswer(res, q) : failed(res));
  }

  private Mono<Boolean> callOthers(HttpServerRequest req) {
    if (announcer.isEmpty() || !req.fullPath().contains("/chain")) {
      return Mono.just(true);
    }
    String id = req.requestHeaders().get(HttpNames.REQUEST_ID, "");
    Announcer a = announcer.get();
    return Flux.fromIterable(options.calls()).concatMap(p -> a.call(p, id)).all(s -> s < FAILURE);
  }

  private static Mono<Void> failed(HttpServerResponse res) {
    return res.status(BAD_GATEWAY).send();
  }

  private Mono<Void> plainAnswer(HttpServerResponse res, Map<String, List<String>> q) {
    long bytes = number(q, "bytes", 0);
    if (bytes == 0) {
      byte[] text = ("answer of " + options.service() + "\n").getBytes(StandardCharsets.UTF_8);
      res.header("Content-Length", Integer.toString(text.length));
      return res.send(Mono.just(Unpooled.wrappedBuffer(text))).then();
    }
    if (!q.containsKey("chunked")) {
      res.header("Content-Length", Long.toString(bytes));
    }
    long sent = faults.cutsAnswers() ? bytes / 2 : bytes;
    Flux<ByteBuf> body = Payload.of(sent, CHUNK_BYTES);
    if (faults.cutsAnswers()) {
      body = body.concatWith(Mono.error(new IllegalStateException("answer is cut on request")));
    }
    return res.send(body).then();
  }

  private static long number(Map<String, List<String>> q, String name, long fallback) {
    return q.containsKey(name) ? Long.parseLong(q.get(name).get(0)) : fallback;
  }

  /** Counts one request from its start to its end. */
  private final class Run {
    private final long atNanos = System.nanoTime();

    void complete() {
      counts.complete(System.nanoTime() - atNanos);
    }

    void cancel() {
      counts.cancel(System.nanoTime() - atNanos);
    }
  }
}
