package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;

/** Protocol between a daemon and its target: header fields and the meaning of responses. */
public interface TargetProtocol {
  /** Least status of responses that name an error of the server. */
  int FIRST_SERVER_ERROR = 500;

  /**
   * Adds the header fields for the target to those that the caller's protocol selected.
   *
   * @param out header fields of the request
   * @param c context of the request
   * @param remainingMillis time left for the request, in milliseconds, at least 1
   * @param target announcement of the target that gets the request
   */
  void completeRequest(
      HttpHeaders out, RequestContext c, long remainingMillis, TargetAnnouncement target);

  /**
   * Classifies a response by its head.
   *
   * @param r head of the response
   * @param sent header fields of the request as they were sent
   * @return kind of the response
   */
  ResponseKind classify(HttpResponse r, HttpHeaders sent);

  /**
   * Returns the fields of a response to forward to the caller.
   *
   * @param h header fields as received
   * @return fields to forward, in their order
   */
  List<HeaderField> fieldsForCaller(HttpHeaders h);

  /**
   * Returns the request rate that the target names in a response.
   *
   * @param h header fields as received
   * @return highest rate of requests that the target accepts, per second; empty if it names none
   */
  default Optional<Double> requestsPerSecond(HttpHeaders h) {
    return Optional.empty();
  }

  /**
   * Returns whether the target says in a response that it is about to end.
   *
   * @param h header fields as received
   * @return whether it gets no further requests
   */
  default boolean isLeaving(HttpHeaders h) {
    return false;
  }

  /**
   * Returns the load that the target reports of itself in a response.
   *
   * @param h header fields as received
   * @return the load; empty if the target reports none, or an invalid one
   */
  default Optional<ReportedLoad> reportedLoad(HttpHeaders h) {
    return Optional.empty();
  }

  /**
   * Returns whether a valid response says that the target failed to serve the request.
   *
   * @param status status of the response
   * @param headers its fields for the caller
   * @return whether it is a failure of the target
   */
  default boolean isFailure(int status, List<HeaderField> headers) {
    return status >= FIRST_SERVER_ERROR;
  }

  /** Kind of a response. */
  sealed interface ResponseKind {
    /** The response belongs to the request. */
    record Valid() implements ResponseKind {}

    /** The response belongs to another request; the one to this request may follow. */
    record OtherRequest() implements ResponseKind {}

    /** The response cannot be trusted, and the request may have run. */
    record Malformed() implements ResponseKind {}

    /**
     * The target has not run the request and will not run it.
     *
     * @param retryAfterMillis time after which the target asks for a retry, in milliseconds, 0 if
     *     it names none
     */
    record NotRun(long retryAfterMillis) implements ResponseKind {}

    /** Another target has the address, and it has not run the request. */
    record Misdirected() implements ResponseKind {}
  }
}
