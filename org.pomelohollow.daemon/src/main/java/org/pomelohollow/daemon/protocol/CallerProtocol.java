package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import org.pomelohollow.model.Verdict;

/** Header fields and refusals between callers and daemons. */
public interface CallerProtocol {
  /**
   * Reads the fields of a request.
   *
   * @param h fields as received
   * @return what they say
   * @throws IllegalArgumentException if a field that matters is malformed
   */
  CallerRequest read(HttpHeaders h);

  /**
   * Writes a refusal or failure.
   *
   * @param requestId identifier of the request
   * @param v what the caller is told
   * @return a whole answer with its length
   */
  FullHttpResponse refusal(String requestId, Verdict v);

  /**
   * Adds what only a daemon may say to the answer of a target.
   *
   * @param out fields of the answer
   * @param requestId identifier of the request
   */
  void completeAnswer(HttpHeaders out, String requestId);
}
