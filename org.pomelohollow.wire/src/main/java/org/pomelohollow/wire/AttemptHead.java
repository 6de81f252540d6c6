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
import org.pomelohollow.model.TargetNotice;

/**
 * First message of a stream: one attempt of a request. Carries the context of the request, in which
 * the deadline is replaced by the remaining time, since clocks of hosts are not comparable.
 *
 * @param requestId identifier of the request
 * @param rootId identifier of the root request of the call tree
 * @param service name of the service that the request is for
 * @param route name of the matched route
 * @param account name of the client account that the request is charged to, empty on routes without
 *     API key
 * @param priority rank of the priority, 0 for the most important
 * @param remainingMicros time left until the deadline, in microseconds
 * @param idempotent whether the request may be attempted again after it may have run
 * @param idempotencyKey key by which the caller's resends are recognized, if it sent one
 * @param fingerprint hash that identifies the content of the request, as in {@link RequestContext}
 * @param retryAllowance number of retries that the calls below may still make
 * @param depth number of calls between the root request and this one
 * @param bulk whether the request is a large transfer
 * @param method HTTP method
 * @param uri path and query as the caller sent them
 * @param headers header fields to send to the target
 * @param streamedLength length in bytes of a body that follows in DATA frames, -1 if unknown; empty
 *     if {@code body} is the whole body
 * @param body complete body of a short request; empty if the body follows in DATA frames
 * @param notice what the entry daemon knows that the target has said of itself
 */
public record AttemptHead(
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
    Bytes body,
    Optional<TargetNotice> notice) {
  /** Creates a head with an immutable copy of the header fields. */
  public AttemptHead {
    headers = List.copyOf(headers);
    Objects.requireNonNull(streamedLength, "streamedLength");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(notice, "notice");
  }

  /**
   * Creates the head of an attempt.
   *
   * @param c context of the request
   * @param nowNanos current time of the local monotonic clock, in nanoseconds
   * @param bulk whether the request is a large transfer
   * @param method HTTP method
   * @param uri path and query as the caller sent them
   * @param headers header fields to send to the target
   * @param streamedLength length in bytes of a body that follows in DATA frames, -1 if unknown;
   *     empty if {@code body} is the whole body
   * @param body complete body of a short request
   * @return the head
   */
  public static AttemptHead of(
      RequestContext c,
      long nowNanos,
      boolean bulk,
      String method,
      String uri,
      List<HeaderField> headers,
      Optional<Long> streamedLength,
      Bytes body) {
    return new AttemptHead(
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
        body,
        Optional.empty());
  }

  /**
   * Returns the same head with a notice.
   *
   * @param newNotice what the entry daemon knows that the target has said of itself
   * @return this head if it has the notice already
   */
  public AttemptHead withNotice(Optional<TargetNotice> newNotice) {
    return notice.equals(newNotice)
        ? this
        : new AttemptHead(
            requestId,
            rootId,
            service,
            route,
            account,
            priority,
            remainingMicros,
            idempotent,
            idempotencyKey,
            fingerprint,
            retryAllowance,
            depth,
            bulk,
            method,
            uri,
            headers,
            streamedLength,
            body,
            newNotice);
  }

  /**
   * Returns the context of the request with the deadline on the clock of the receiver.
   *
   * @param nowNanos current time of the receiver's monotonic clock, in nanoseconds
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
