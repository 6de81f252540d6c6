package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

/** Maps verdicts of refused and failed requests to HTTP statuses. */
public final class VerdictStatus {
  private VerdictStatus() {}

  /**
   * Returns the HTTP status for a verdict.
   *
   * @param v verdict of the request, not {@link Verdict.Ran}
   * @return status of the verdict's error code; 502 if the connection failed after the request was
   *     sent, so that it may have run; 500 if the error code has no status
   */
  public static HttpResponseStatus of(Verdict v) {
    ErrorCode code = v.code();
    boolean lost = code == ErrorCode.UNREACHABLE || code == ErrorCode.CONNECTION_LOST;
    if (lost && v instanceof Verdict.MayHaveRun) {
      return HttpResponseStatus.BAD_GATEWAY;
    }
    return code.httpStatus() == 0
        ? HttpResponseStatus.INTERNAL_SERVER_ERROR
        : HttpResponseStatus.valueOf(code.httpStatus());
  }
}
