package org.pomelohollow.decision.guard;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.attempt.RetryAllowance;
import org.pomelohollow.model.RequestContext;

/** Registry of the requests that run at this daemon's target and make calls there. */
public final class RunningRequests {
  private final Map<String, Entry> entriesById = new HashMap<>();

  /**
   * Finds a running request.
   *
   * @param requestId identifier that was sent to the target with the request
   * @return context of the request; empty if it isn't running
   */
  public Optional<RequestContext> find(String requestId) {
    return Optional.ofNullable(entriesById.get(requestId)).map(e -> e.context);
  }

  /**
   * Deducts the retry allowance of a call from that of the running request that makes the call.
   *
   * @param requestId identifier of the running request
   * @return number of retries for the call and the call tree below it; 0 if the request isn't
   *     running
   */
  public int allocateToCall(String requestId) {
    Entry e = entriesById.get(requestId);
    return e == null ? 0 : e.allowance.allocateToCall();
  }

  /** Returns the number of running requests. */
  public int size() {
    return entriesById.size();
  }

  /** Registers an attempt of a request and adds its retry allowance to that of the request. */
  void register(RequestContext c) {
    Entry e = entriesById.computeIfAbsent(c.requestId(), k -> new Entry(c));
    e.attempts++;
    e.allowance.add(c.retryAllowance());
  }

  /** Unregisters an attempt; removes the request with its last attempt. */
  void unregister(RequestContext c) {
    Entry e = entriesById.get(c.requestId());
    if (e != null && --e.attempts == 0) {
      entriesById.remove(c.requestId());
    }
  }

  private static final class Entry {
    private final RequestContext context;
    private final RetryAllowance allowance = new RetryAllowance(0);
    private int attempts;

    Entry(RequestContext context) {
      this.context = context;
    }
  }
}
