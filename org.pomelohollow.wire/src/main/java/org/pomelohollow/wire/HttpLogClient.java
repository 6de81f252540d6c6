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

/** Client of the platform's log over HTTP. */
public final class HttpLogClient implements LogClient {
  /** Path below which streams lie. */
  public static final String STREAMS = "/streams/";

  /** Header of an append's answer that carries the offset. */
  public static final String OFFSET_HEADER = "Log-Offset";

  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration READ_MARGIN = Duration.ofSeconds(2);
  private static final int MAX_CONNECTIONS = 8;
  private static final int OK = 200;
  private static final int CREATED = 201;

  private final HttpClient http;
  private final WireCodec codec;
  private final String base;

  /**
   * Creates a client.
   *
   * @param address address of the log
   * @param loops event loops to run on
   * @param codec codec of slices
   */
  public HttpLogClient(Endpoint address, LoopResources loops, WireCodec codec) {
    this.base = "http://" + address + STREAMS;
    this.codec = codec;
    this.http =
        HttpClient.create(ConnectionProvider.create("log", MAX_CONNECTIONS))
            .runOn(loops)
            .disableRetry(true);
  }

  @Override
  public Mono<Long> append(String stream, byte[] record) {
    return http.post()
        .uri(base + stream)
        .send(ByteBufMono.fromSupplier(() -> Unpooled.wrappedBuffer(record)))
        .responseSingle(
            (r, body) -> body.asByteArray().defaultIfEmpty(new byte[0]).map(b -> offset(r)))
        .timeout(APPEND_TIMEOUT)
        .onErrorMap(HttpLogClient::unavailable);
  }

  @Override
  public Mono<LogSlice> read(String stream, long from, int max, Duration wait) {
    String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
    return http.get()
        .uri(base + stream + query)
        .responseSingle((r, body) -> body.asByteArray().map(b -> slice(r, b)))
        .timeout(wait.plus(READ_MARGIN))
        .onErrorMap(HttpLogClient::unavailable);
  }

  private LogSlice slice(HttpClientResponse r, byte[] body) {
    check(r, OK);
    return codec.decode(LogSlice.class, body);
  }

  private static long offset(HttpClientResponse r) {
    check(r, CREATED);
    return Long.parseLong(r.responseHeaders().get(OFFSET_HEADER));
  }

  private static void check(HttpClientResponse r, int expected) {
    if (r.status().code() != expected) {
      throw new PomelohollowException(
          ErrorCode.LOG_UNAVAILABLE, "the log answered with status " + r.status().code());
    }
  }

  private static Throwable unavailable(Throwable t) {
    return t instanceof PomelohollowException
        ? t
        : new PomelohollowException(ErrorCode.LOG_UNAVAILABLE, "the log is unreachable", t);
  }
}
