package org.pomelohollow.decision.guard;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.attempt.RetryAllowance;
import org.pomelohollow.model.RequestContext;

/** Requests that run at this daemon's target, to which the target's own calls belong. */
public final class RunningRequests {
  private final Map<String, Running> running = new HashMap<>();

  /**
   * Finds a running request.
   *
   * @param requestId identifier that the target was given
   * @return its context, empty if no such request runs
   */
  public Optional<RequestContext> find(String requestId) {
    return Optional.ofNullable(running.get(requestId)).map(r -> r.context);
  }

  /**
   * Takes the retry allowance of a call that a running request makes out of the request's own.
   *
   * @param requestId identifier of the running request
   * @return extra attempts for the call and the tree below it; 0 if no such request runs
   */
  public int allocateToCall(String requestId) {
    Running r = running.get(requestId);
    return r == null ? 0 : r.allowance.allocateToCall();
  }

  /** Returns the number of running requests. */
  public int size() {
    return running.size();
  }

  void register(RequestContext c) {
    Running r = running.computeIfAbsent(c.requestId(), k -> new Running(c));
    r.attempts++;
    r.allowance.add(c.retryAllowance());
  }

  void unregister(RequestContext c) {
    Running r = running.get(c.requestId());
    if (r != null && --r.attempts == 0) {
      running.remove(c.requestId());
    }
  }

  private static final class Running {
    private final RequestContext context;
    private final RetryAllowance allowance = new RetryAllowance(0);
    private int attempts;

    Running(RequestContext context) {
      this.context = context;
    }
  }
}
