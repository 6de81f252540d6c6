package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.config.VersionedDocument;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves operators over HTTP: metrics, state dumps and the active configuration document. */
public final class AdminServer {
  /** Name of the response header that carries the version of the document. */
  public static final String VERSION_HEADER = "Pomelo-Config-Version";

  private final ObjectMapper json = new ObjectMapper();
  private final PrometheusMeterRegistry metrics;
  private final Supplier<List<StateDump>> dump;
  private final Supplier<Optional<VersionedDocument>> configuration;

  /**
   * Creates the request handler of the admin address.
   *
   * @param metrics registry of the metrics
   * @param dump supplies a state dump of every part
   * @param configuration supplies the active document, empty if there is none
   */
  public AdminServer(
      PrometheusMeterRegistry metrics,
      Supplier<List<StateDump>> dump,
      Supplier<Optional<VersionedDocument>> configuration) {
    this.metrics = metrics;
    this.dump = dump;
    this.configuration = configuration;
  }

  /**
   * Serves a request.
   *
   * @param req the request
   * @param res the response
   * @return completes when the response has been sent
   */
  public Publisher<Void> serve(HttpServerRequest req, HttpServerResponse res) {
    return switch (req.uri()) {
      case "/metrics" -> text(res, metrics.scrape());
      case "/dump" -> text(res, asText(dump.get()));
      case "/dump.json" -> json(res, dump.get());
      case "/config" -> document(res);
      default -> res.status(HttpResponseStatus.NOT_FOUND).send();
    };
  }

  private Publisher<Void> document(HttpServerResponse res) {
    Optional<VersionedDocument> v = configuration.get();
    res.header(VERSION_HEADER, Long.toString(v.map(VersionedDocument::version).orElse(0L)));
    return text(res, v.map(VersionedDocument::text).orElse(""));
  }

  private Publisher<Void> json(HttpServerResponse res, List<StateDump> d) {
    try {
      res.header(HttpHeaderNames.CONTENT_TYPE, "application/json");
      return res.sendString(Mono.just(json.writeValueAsString(d)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "a state dump holds only strings, which can always be encoded as JSON", e);
    }
  }

  private static Publisher<Void> text(HttpServerResponse res, String s) {
    res.header(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    return res.sendString(Mono.just(s));
  }

  private static String asText(List<StateDump> dumps) {
    List<String> lines = new ArrayList<>();
    for (StateDump d : dumps) {
      lines.add(d.part());
      d.lines().forEach(l -> lines.add("  " + l.name() + ": " + l.value()));
    }
    return String.join("\n", lines) + "\n";
  }
}
