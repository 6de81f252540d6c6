package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import java.util.Optional;
import org.pomelohollow.daemon.protocol.CallerProtocol;
import org.pomelohollow.daemon.protocol.CallerRequest;
import org.pomelohollow.daemon.protocol.HeaderRules;
import org.pomelohollow.daemon.protocol.VerdictStatus;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.HttpNames;

/**
 * Caller protocol of the standalone deployment, with the {@code Pomelo-} header fields; refusals
 * are RFC 9457 problem documents.
 */
public final class StandaloneCallerProtocol implements CallerProtocol {
  private static final String BEARER = "Bearer ";
  private static final String CONTENT_TYPE = "application/problem+json";
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final ObjectMapper JSON = new ObjectMapper();

  @Override
  public CallerRequest read(HttpHeaders h) {
    return new CallerRequest(
        Optional.empty(),
        Optional.empty(),
        Optional.ofNullable(h.get(HttpNames.AUTHORIZATION))
            .filter(a -> a.startsWith(BEARER))
            .map(a -> a.substring(BEARER.length())),
        Optional.ofNullable(h.get(HttpNames.IDEMPOTENCY_KEY)),
        timeoutMillis(h),
        HeaderRules.fieldsForTarget(h));
  }

  @Override
  public FullHttpResponse errorResponse(String requestId, Verdict v) {
    ErrorCode code = v.code();
    HttpResponseStatus status = VerdictStatus.of(v);
    byte[] body =
        encode(new ProblemDocument(title(code), status.code(), code.id(), v.label(), requestId));
    FullHttpResponse r =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    r.headers()
        .set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
        .set(HttpNames.ERROR, code.id())
        .set(HttpNames.VERDICT, v.label())
        .set(HttpNames.REQUEST_ID, requestId);
    if (v instanceof Verdict.NotRun n && n.retryAfterMillis() > 0) {
      r.headers()
          .set(
              HttpHeaderNames.RETRY_AFTER, Long.toString(toSecondsRoundedUp(n.retryAfterMillis())));
    }
    if (status.equals(HttpResponseStatus.UNAUTHORIZED)) {
      r.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return r;
  }

  @Override
  public void completeResponse(HttpHeaders out, String requestId) {
    out.set(HttpNames.VERDICT, "ran").set(HttpNames.REQUEST_ID, requestId);
  }

  private static Optional<Long> timeoutMillis(HttpHeaders h) {
    Optional<Long> t = Optional.ofNullable(h.get(HttpNames.TIMEOUT_MILLIS)).map(Long::parseLong);
    if (t.filter(n -> n < 0).isPresent()) {
      throw new NumberFormatException("negative timeout in " + HttpNames.TIMEOUT_MILLIS);
    }
    return t;
  }

  private static String title(ErrorCode code) {
    return code.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private static long toSecondsRoundedUp(long millis) {
    return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
  }

  private static byte[] encode(ProblemDocument b) {
    try {
      return JSON.writeValueAsBytes(b);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "a problem document holds only strings and numbers, which can always be encoded as JSON",
          e);
    }
  }

  /** Problem document (RFC 9457). */
  record ProblemDocument(String title, int status, String code, String verdict, String requestId) {}
}
