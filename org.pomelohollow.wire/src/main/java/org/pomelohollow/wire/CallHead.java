package org.pomelohollow.wire;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;

/**
 * Opens a stream for one attempt of a request. Carries the request's context with its deadline as
 * remaining time.
 *
 * @param requestId identifier of the call
 * @param rootId identifier of the root request
 * @param service service that is called
 * @param route name of the route
 * @param account charged account, empty on open routes
 * @param priority rank of the priority
 * @param remainingMicros time left, in microseconds
 * @param idempotent whether the request may be attempted again
 * @param idempotencyKey the caller's key for resends
 * @param fingerprint hash of the request
 * @param retryAllowance extra attempts left for the calls below
 * @param depth hops from the root
 * @param bulk whether the request is a large transfer
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers header fields for the target
 * @param streamedLength length of a body that follows in DATA frames, -1 if it follows with unknown
 *     length; empty if the body is {@code body}
 * @param body a short body, whole
 */
public record CallHead(
    String requestId,
    String rootId,
    String service,
    String route,
    Optional<String> account,
    int priority,
    long remainingMicros,
    boolean idempotent,
    Optional<String> idempotencyKey,
    long fingerprint,
    int retryAllowance,
    int depth,
    boolean bulk,
    String method,
    String uri,
    List<HeaderField> headers,
    Optional<Long> streamedLength,
    Bytes body) {
  /** Copies the list. */
  public CallHead {
    headers = List.copyOf(headers);
    Objects.requireNonNull(streamedLength, "streamedLength");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Creates the head of an attempt.
   *
   * @param c context of the request
   * @param nowNanos current monotonic time, in nanoseconds
   * @param bulk whether the request is a large transfer
   * @param method HTTP method
   * @param uri path and query
   * @param headers header fields for the target
   * @param streamedLength as the component
   * @param body as the component
   * @return the head
   */
  public static CallHead of(
      RequestContext c,
      long nowNanos,
      boolean bulk,
      String method,
      String uri,
      List<HeaderField> headers,
      Optional<Long> streamedLength,
      Bytes body) {
    return new CallHead(
        c.requestId(),
        c.rootId(),
        c.service().value(),
        c.route(),
        c.account().map(AccountId::value),
        c.priority().rank(),
        TimeUnit.NANOSECONDS.toMicros(c.remainingNanos(nowNanos)),
        c.idempotent(),
        c.idempotencyKey(),
        c.fingerprint(),
        c.retryAllowance(),
        c.depth(),
        bulk,
        method,
        uri,
        headers,
        streamedLength,
        body);
  }

  /**
   * Returns the context at the receiver.
   *
   * @param nowNanos current monotonic time at the receiver, in nanoseconds
   * @return the context
   */
  public RequestContext context(long nowNanos) {
    return new RequestContext(
        requestId,
        rootId,
        new ServiceId(service),
        route,
        account.map(AccountId::new),
        new Priority(priority),
        nowNanos + TimeUnit.MICROSECONDS.toNanos(remainingMicros),
        idempotent,
        idempotencyKey,
        fingerprint,
        retryAllowance,
        depth);
  }
}
