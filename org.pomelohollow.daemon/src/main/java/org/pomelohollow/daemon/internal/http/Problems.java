package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.Headers;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Refusals and failures towards callers, as RFC 9457 problem documents. */
final class Problems {
  private static final String CONTENT_TYPE = "application/problem+json";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  private Problems() {}

  static Publisher<Void> send(HttpServerResponse res, String requestId, Verdict v) {
    ErrorCode code = code(v);
    int status = status(code, v);
    byte[] body = encode(new Body(title(code), status, code.id(), v.label(), requestId));
    res.status(status)
        .header(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
        .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
        .header(Headers.ERROR, code.id())
        .header(Headers.VERDICT, v.label())
        .header(Headers.REQUEST_ID, requestId);
    if (v instanceof Verdict.NotRun n && n.retryAfterMillis() > 0) {
      res.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds(n.retryAfterMillis())));
    }
    if (status == HttpResponseStatus.UNAUTHORIZED.code()) {
      res.header(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return res.send(Mono.just(Unpooled.wrappedBuffer(body)));
  }

  private static ErrorCode code(Verdict v) {
    if (v instanceof Verdict.NotRun n) {
      return n.code();
    }
    return v instanceof Verdict.MayHaveRun m ? m.code() : ErrorCode.INTERNAL;
  }

  private static int status(ErrorCode code, Verdict v) {
    boolean lost = code == ErrorCode.UNREACHABLE || code == ErrorCode.CONNECTION_LOST;
    if (lost && v instanceof Verdict.MayHaveRun) {
      return HttpResponseStatus.BAD_GATEWAY.code();
    }
    return code.httpStatus() == 0
        ? HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
        : code.httpStatus();
  }

  private static String title(ErrorCode code) {
    return code.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private static long seconds(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }

  private static byte[] encode(Body b) {
    try {
      return JSON.writeValueAsBytes(b);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("strings and numbers are always encoded", e);
    }
  }

  /** Problem document. */
  record Body(String title, int status, String code, String verdict, String requestId) {}
}
