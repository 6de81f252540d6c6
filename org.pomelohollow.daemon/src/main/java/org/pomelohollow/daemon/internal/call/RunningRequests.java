package org.pomelohollow.daemon.internal.call;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.RequestContext;

/** Requests at the target of this host, and the calls that the target makes for them. */
public final class RunningRequests {
  private final Map<String, Running> running = new HashMap<>();

  /**
   * Adds a request that is handed to the target.
   *
   * @param c the request
   */
  public void add(RequestContext c) {
    running.put(c.requestId(), new Running(c));
  }

  /**
   * Removes a request and ends the calls that are still out for it.
   *
   * @param c the request
   */
  public void remove(RequestContext c) {
    Running r = running.remove(c.requestId());
    if (r != null) {
      List.copyOf(r.children).forEach(Runnable::run);
    }
  }

  /**
   * Finds a request.
   *
   * @param requestId its identifier
   * @return its context, if it runs
   */
  public Optional<RequestContext> find(String requestId) {
    return Optional.ofNullable(running.get(requestId)).map(r -> r.context);
  }

  /**
   * Adds a call that is out for a request.
   *
   * @param requestId identifier of the request
   * @param cancel ends the call
   * @return removes the call again when run
   */
  public Runnable addChild(String requestId, Runnable cancel) {
    Running r = running.get(requestId);
    if (r == null) {
      return () -> {};
    }
    r.children.add(cancel);
    return () -> r.children.remove(cancel);
  }

  /** Returns the number of requests at the target. */
  public int count() {
    return running.size();
  }

  private static final class Running {
    private final RequestContext context;
    private final Set<Runnable> children = new HashSet<>();

    Running(RequestContext context) {
      this.context = context;
    }
  }
}
