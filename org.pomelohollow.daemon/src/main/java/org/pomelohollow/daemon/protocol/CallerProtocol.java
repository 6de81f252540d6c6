package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.pomelohollow.model.Verdict;

/** Protocol between callers and daemons: header fields and error responses. */
public interface CallerProtocol {
  /**
   * Parses the header fields of a request.
   *
   * @param h header fields as received
   * @return the parsed fields
   * @throws IllegalArgumentException if a field that the daemon uses is malformed
   */
  CallerRequest read(HttpHeaders h);

  /**
   * Creates the response for a request that was refused or failed.
   *
   * @param requestId identifier of the request
   * @param v verdict that the response reports
   * @return a complete response with its length
   */
  FullHttpResponse errorResponse(String requestId, Verdict v);

  /**
   * Adds the header fields that only a daemon may set to the response of a target.
   *
   * @param out header fields of the response
   * @param requestId identifier of the request
   */
  void completeResponse(HttpHeaders out, String requestId);
}
