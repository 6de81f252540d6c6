package org.pomelohollow.model;

import java.util.Objects;
import java.util.Optional;

/**
 * What every hop knows of one request. Immutable; each attempt at a hop makes its own copy.
 *
 * @param requestId identifier unique to this call of the tree
 * @param rootId identifier of the root request of the call tree
 * @param service service that is called
 * @param route name of the matched route
 * @param account client account that is charged; empty on open routes
 * @param priority priority from the route of the root request
 * @param deadlineNanos latest completion on the local monotonic clock, in nanoseconds
 * @param idempotent whether the request may be attempted again after it may have run
 * @param idempotencyKey the caller's key for resends, if any
 * @param fingerprint hash over account, method, path and idempotency-independent content
 * @param retryAllowance extra attempts that this call and all calls below it may still spend
 * @param depth hops from the root request, 0 at the root
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

  /** Deepest call tree that is accepted. */
  public static final int MAX_DEPTH = 32;

  /** Checks the fields. */
  public RequestContext {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(rootId, "rootId");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    if (retryAllowance < 0) {
      throw new IllegalArgumentException("retryAllowance " + retryAllowance);
    }
    if (depth < 0 || depth > MAX_DEPTH) {
      throw new IllegalArgumentException("depth " + depth);
    }
  }

  /** Returns true at the entry of a call tree. */
  public boolean isRoot() {
    return depth == 0;
  }

  /**
   * Returns the time left.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return nanoseconds to the deadline, negative once it has passed
   */
  public long remainingNanos(long nowNanos) {
    return deadlineNanos - nowNanos;
  }

  /**
   * Returns a copy with another retry allowance.
   *
   * @param allowance extra attempts, 0 or more
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
