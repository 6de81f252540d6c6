package org.pomelohollow.wire;

import io.netty.buffer.Unpooled;
import java.time.Duration;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/** Client for the platform's log over HTTP. */
public final class HttpLogClient implements LogClient {
  /** Path prefix of the streams. */
  public static final String STREAMS_PATH = "/streams/";

  /** Header field of the response to an append that holds the offset of the record. */
  public static final String OFFSET_HEADER = "Log-Offset";

  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

  /** Time that a read may take beyond its wait for a first record. */
  private static final Duration READ_MARGIN = Duration.ofSeconds(2);

  private static final int MAX_CONNECTIONS = 8;

  /** An idle connection may have fallen silent unnoticed, so none is used after a longer pause. */
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(2);

  private static final int HTTP_OK = 200;
  private static final int HTTP_CREATED = 201;

  private final HttpClient httpClient;
  private final WireCodec codec;
  private final String baseUri;

  /**
   * Creates a client.
   *
   * @param address address of the log
   * @param loops event loops that the HTTP client runs on
   * @param codec codec that decodes slices
   */
  public HttpLogClient(Endpoint address, LoopResources loops, WireCodec codec) {
    this.baseUri = "http://" + address + STREAMS_PATH;
    this.codec = codec;
    this.httpClient =
        HttpClient.create(
                ConnectionProvider.builder("log")
                    .maxConnections(MAX_CONNECTIONS)
                    .maxIdleTime(MAX_IDLE_TIME)
                    .build())
            .runOn(loops)
            .disableRetry(true);
  }

  @Override
  public Mono<Long> append(String stream, byte[] record) {
    return httpClient
        .post()
        .uri(baseUri + stream)
        .send(ByteBufMono.fromSupplier(() -> Unpooled.wrappedBuffer(record)))
        .responseSingle(
            (r, body) -> body.asByteArray().defaultIfEmpty(new byte[0]).map(b -> parseOffset(r)))
        .timeout(APPEND_TIMEOUT)
        .onErrorMap(HttpLogClient::toLogUnavailable);
  }

  @Override
  public Mono<LogSlice> read(String stream, long from, int max, Duration wait) {
    String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
    return httpClient
        .get()
        .uri(baseUri + stream + query)
        .responseSingle((r, body) -> body.asByteArray().map(b -> decodeSlice(r, b)))
        .timeout(wait.plus(READ_MARGIN))
        .onErrorMap(HttpLogClient::toLogUnavailable);
  }

  private LogSlice decodeSlice(HttpClientResponse r, byte[] body) {
    checkStatus(r, HTTP_OK);
    return codec.decode(LogSlice.class, body);
  }

  private static long parseOffset(HttpClientResponse r) {
    checkStatus(r, HTTP_CREATED);
    return Long.parseLong(r.responseHeaders().get(OFFSET_HEADER));
  }

  private static void checkStatus(HttpClientResponse r, int expected) {
    if (r.status().code() != expected) {
      throw new PomelohollowException(
          ErrorCode.LOG_UNAVAILABLE,
          "the log responded with status " + r.status().code() + " instead of " + expected);
    }
  }

  private static Throwable toLogUnavailable(Throwable t) {
    return t instanceof PomelohollowException
        ? t
        : new PomelohollowException(ErrorCode.LOG_UNAVAILABLE, "the log is unreachable", t);
  }
}
