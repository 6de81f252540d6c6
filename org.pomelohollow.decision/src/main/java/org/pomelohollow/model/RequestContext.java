package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * Properties of a request that are passed on to every daemon that handles it. Immutable; each
 * attempt has its own copy.
 *
 * @param requestId identifier of this request, unique in the call tree
 * @param rootId identifier of the root request: the one that started the call tree
 * @param service service that the request is for
 * @param route name of the matched route
 * @param account client account that the request is charged to, empty on routes without API key
 * @param priority priority from the route of the root request
 * @param deadlineNanos deadline of the request on the local monotonic clock, in nanoseconds
 * @param idempotent whether the request may be attempted again after it may have run
 * @param idempotencyKey key by which the caller's resends of the request are recognized, if it sent
 *     one
 * @param fingerprint hash over account, method, path and the content that does not depend on the
 *     idempotency key
 * @param retryAllowance number of retries that this request and all calls below it may still make
 * @param depth number of calls between the root request and this one, 0 for the root request
 */
public record RequestContext(
    String requestId,
    String rootId,
    ServiceId service,
    String route,
    Optional<AccountId> account,
    Priority priority,
    long deadlineNanos,
    boolean idempotent,
    Optional<String> idempotencyKey,
    long fingerprint,
    int retryAllowance,
    int depth) {

  /** Maximum depth of a request in its call tree. */
  public static final int MAX_DEPTH = 32;

  /** Creates a context after checking the ranges. */
  public RequestContext {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(rootId, "rootId");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    if (retryAllowance < 0) {
      throw new IllegalArgumentException("retryAllowance " + retryAllowance + " is negative");
    }
    if (depth < 0 || depth > MAX_DEPTH) {
      throw new IllegalArgumentException("depth " + depth + " is outside 0 to " + MAX_DEPTH);
    }
  }

  /** Returns whether this is the root request of its call tree. */
  public boolean isRoot() {
    return depth == 0;
  }

  /**
   * Returns the time left until the deadline.
   *
   * @param nowNanos current time of the local monotonic clock, in nanoseconds
   * @return remaining time in nanoseconds, negative after the deadline
   */
  public long remainingNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }

  /**
   * Returns a copy with another retry allowance.
   *
   * @param allowance number of retries, 0 or more
   * @return the copy
   */
  public RequestContext withRetryAllowance(int allowance) {
    return new RequestContext(
        requestId,
        rootId,
        service,
        route,
        account,
        priority,
        deadlineNanos,
        idempotent,
        idempotencyKey,
        fingerprint,
        allowance,
        depth);
  }
}
