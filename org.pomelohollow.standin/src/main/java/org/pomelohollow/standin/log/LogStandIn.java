package org.pomelohollow.standin.log;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.LogSlice;
import org.pomelohollow.wire.WireCodec;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/** Append-only log in memory, served over HTTP, with fault injection. */
public final class LogStandIn implements AutoCloseable {
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final int CREATED = 201;
  private static final Duration POLL_PERIOD = Duration.ofMillis(10);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

  private final WireCodec codec = new WireCodec();
  private final Map<String, InMemoryStream> streams = new HashMap<>();
  private final LoopResources loops = LoopResources.create("log-stand-in", 1, true);
  private LogFaults faults = LogFaults.NONE;
  private DisposableServer server;

  private LogStandIn() {}

  /**
   * Starts a log.
   *
   * @param address address to bind; port 0 selects any free port
   * @return the running log
   */
  public static LogStandIn start(Endpoint address) {
    LogStandIn log = new LogStandIn();
    log.server =
        HttpServer.create()
            .runOn(log.loops)
            .host(address.address())
            .port(address.port())
            .route(
                r ->
                    r.get(HttpLogClient.STREAMS_PATH + "{stream}", log::read)
                        .post(HttpLogClient.STREAMS_PATH + "{stream}", log::append)
                        .post("/faults", log::changeFaults))
            .bindNow();
    Logger.info("log stand-in: listening on {}", log.address());
    return log;
  }

  /** Returns the bound address. */
  public Endpoint address() {
    return new Endpoint(
        ((InetSocketAddress) server.address()).getAddress().getHostAddress(), server.port());
  }

  /** Returns the active faults. */
  public synchronized LogFaults faults() {
    return faults;
  }

  /**
   * Sets the faults and drops records beyond the new retention.
   *
   * @param f the faults
   */
  public synchronized void setFaults(LogFaults f) {
    faults = f;
    streams.values().forEach(s -> s.trimTo(f.retainedRecords()));
  }

  /**
   * Returns the records that a stream retains.
   *
   * @param stream name of the stream
   * @return all retained records
   */
  public synchronized LogSlice contents(String stream) {
    return stream(stream).read(0, Integer.MAX_VALUE);
  }

  /** Blocks until the log has stopped. */
  public void await() {
    server.onDispose().block();
  }

  @Override
  public void close() {
    server.disposeNow(CLOSE_TIMEOUT);
    loops.disposeLater(Duration.ZERO, CLOSE_TIMEOUT).block();
  }

  private synchronized InMemoryStream stream(String name) {
    return streams.computeIfAbsent(name, n -> new InMemoryStream());
  }

  private Publisher<Void> append(HttpServerRequest req, HttpServerResponse res) {
    LogFaults f = faults();
    if (f.down()) {
      return res.status(UNAVAILABLE).send();
    }
    return req.receive()
        .aggregate()
        .asByteArray()
        .delayElement(Duration.ofMillis(f.appendDelayMillis()))
        .flatMap(b -> store(req.param("stream"), b, res));
  }

  private Mono<Void> store(String stream, byte[] content, HttpServerResponse res) {
    if (faults().down()) {
      return res.status(UNAVAILABLE).send();
    }
    long offset = write(stream, content);
    if (consumeLostResponse()) {
      res.withConnection(c -> c.channel().close());
      return Mono.never();
    }
    return res.status(CREATED).header(HttpLogClient.OFFSET_HEADER, Long.toString(offset)).send();
  }

  private synchronized long write(String stream, byte[] content) {
    InMemoryStream s = stream(stream);
    long offset = s.append(content);
    s.trimTo(faults.retainedRecords());
    return offset;
  }

  /** Returns whether the response of the present append is to be lost, and counts it. */
  private synchronized boolean consumeLostResponse() {
    if (faults.lostResponses() == 0) {
      return false;
    }
    faults = faults.withLostResponses(faults.lostResponses() - 1);
    return true;
  }

  private Publisher<Void> read(HttpServerRequest req, HttpServerResponse res) {
    LogFaults f = faults();
    if (f.down()) {
      return res.status(UNAVAILABLE).send();
    }
    Map<String, List<String>> q = new QueryStringDecoder(req.uri()).parameters();
    long from = number(q, "from", 0);
    int max = (int) number(q, "max", Integer.MAX_VALUE);
    long waitMillis = number(q, "wait_ms", 0);
    String name = req.param("stream");
    Mono<LogSlice> slice =
        Mono.fromSupplier(() -> readSlice(name, from, max))
            .filter(s -> !s.records().isEmpty())
            .repeatWhenEmpty(
                (int) (waitMillis / POLL_PERIOD.toMillis()) + 1, n -> n.delayElements(POLL_PERIOD))
            .onErrorResume(IllegalStateException.class, e -> Mono.empty())
            .switchIfEmpty(Mono.fromSupplier(() -> readSlice(name, from, max)))
            .delayElement(Duration.ofMillis(f.readDelayMillis()));
    return slice.flatMap(s -> res.sendByteArray(Mono.just(codec.encode(s))).then());
  }

  private synchronized LogSlice readSlice(String stream, long from, int max) {
    return stream(stream).read(from, max);
  }

  private Publisher<Void> changeFaults(HttpServerRequest req, HttpServerResponse res) {
    Map<String, List<String>> q = new QueryStringDecoder(req.uri()).parameters();
    try {
      LogFaults f = faults();
      setFaults(
          new LogFaults(
              q.containsKey("down") ? Boolean.parseBoolean(q.get("down").get(0)) : f.down(),
              number(q, "append_delay_ms", f.appendDelayMillis()),
              number(q, "read_delay_ms", f.readDelayMillis()),
              (int) number(q, "lose_answers", f.lostResponses()),
              (int) number(q, "retain", f.retainedRecords())));
      Logger.info("log stand-in: active faults are {}", faults());
      return res.send();
    } catch (NumberFormatException e) {
      return res.status(BAD_REQUEST).sendString(Mono.just("not a number\n"));
    }
  }

  private static long number(Map<String, List<String>> q, String name, long defaultValue) {
    return q.containsKey(name) ? Long.parseLong(q.get(name).get(0)) : defaultValue;
  }
}
