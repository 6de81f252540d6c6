package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;

/** Header fields and refusals between a daemon and its target. */
public interface TargetProtocol {
  /**
   * Adds what the target is told of a request to the fields that the caller's side chose.
   *
   * @param out fields of the request
   * @param c the request
   * @param remainingMillis time left, in milliseconds, at least 1
   * @param target the target
   */
  void completeRequest(
      HttpHeaders out, RequestContext c, long remainingMillis, TargetAnnouncement target);

  /**
   * Judges the head of an answer.
   *
   * @param r the head
   * @param sent fields of the request as they were sent
   * @return what it means
   */
  Meaning judge(HttpResponse r, HttpHeaders sent);

  /**
   * Returns the fields of an answer that go to the caller.
   *
   * @param h fields as received
   * @return fields in order
   */
  List<HeaderField> forCaller(HttpHeaders h);

  /** Meaning of an answer. */
  sealed interface Meaning {
    /** The answer belongs to the request. */
    record Answer() implements Meaning {}

    /** The answer belongs to another request; the right one may follow. */
    record Foreign() implements Meaning {}

    /** The answer can't be trusted; the request may have run. */
    record Malformed() implements Meaning {}

    /**
     * The target has not run the request, and won't.
     *
     * @param retryAfterMillis time that it named, in milliseconds, 0 if none
     */
    record NotRun(long retryAfterMillis) implements Meaning {}

    /** Another target has the address; it has not run the request. */
    record Misdirected() implements Meaning {}
  }
}
