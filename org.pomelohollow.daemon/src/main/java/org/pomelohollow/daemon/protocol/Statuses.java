package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

/** HTTP statuses of refusals and failures. */
public final class Statuses {
  private Statuses() {}

  /**
   * Returns the status of a refusal or failure.
   *
   * @param v what the caller is told, not {@link Verdict.Ran}
   * @return the code's status; 502 for a request that was handed over and whose fate is unknown
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
