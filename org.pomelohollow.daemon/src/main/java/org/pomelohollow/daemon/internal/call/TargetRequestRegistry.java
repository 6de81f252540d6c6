package org.pomelohollow.daemon.internal.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.RequestContext;

/** Registry of the requests that run at this host's target, with its outbound calls for them. */
public final class TargetRequestRegistry {
  private final Map<String, Entry> running = new HashMap<>();

  /**
   * Adds a request that is sent to the target.
   *
   * @param c the request
   */
  public void add(RequestContext c) {
    running.put(c.requestId(), new Entry(c));
  }

  /**
   * Removes a request and cancels the outbound calls that are still open for it.
   *
   * @param c the request
   */
  public void remove(RequestContext c) {
    Entry r = running.remove(c.requestId());
    if (r != null) {
      List.copyOf(r.outboundCalls).forEach(Runnable::run);
    }
  }

  /**
   * Finds a running request.
   *
   * @param requestId identifier of the request
   * @return context of the request, empty if it is not running
   */
  public Optional<RequestContext> find(String requestId) {
    return Optional.ofNullable(running.get(requestId)).map(r -> r.context);
  }

  /**
   * Adds an open outbound call of a request. Does nothing if the request is not running.
   *
   * @param requestId identifier of the request
   * @param cancel cancels the call
   * @return removes the call from the registry when run
   */
  public Runnable addOutboundCall(String requestId, Runnable cancel) {
    Entry r = running.get(requestId);
    if (r == null) {
      return () -> {};
    }
    r.outboundCalls.add(cancel);
    return () -> r.outboundCalls.remove(cancel);
  }

  /** Returns the number of requests that run at the target. */
  public int count() {
    return running.size();
  }

  private static final class Entry {
    private final RequestContext context;
    private final Set<Runnable> outboundCalls = new HashSet<>();

    Entry(RequestContext context) {
      this.context = context;
    }
  }
}
