package org.pomelohollow.document;

import java.util.Objects;
import java.util.Set;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;

/**
 * A route: which requests go to a service, and how they are treated.
 *
 * @param name unique name
 * @param service service that runs the request
 * @param methods HTTP methods in upper case, not empty
 * @param path pattern of the path
 * @param priority priority of the requests
 * @param idempotent whether a request may be attempted again after it may have run
 * @param open whether the route needs no key
 * @param timeoutMillis time for the whole request when the caller names none, in milliseconds
 * @param bulk whether answers are large transfers that are bounded apart from short calls
 */
public record RouteEntry(
    String name,
    ServiceId service,
    Set<String> methods,
    PathPattern path,
    Priority priority,
    boolean idempotent,
    boolean open,
    long timeoutMillis,
    boolean bulk) {

  /** Longest timeout, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  /** Checks the fields. */
  public RouteEntry {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(priority, "priority");
    methods = Set.copyOf(methods);
    Ranges.check("timeout_ms", timeoutMillis, 1, MAX_TIMEOUT_MILLIS);
  }

  /**
   * Tells whether this route and another match a common request with equal precedence.
   *
   * @param o another route, not null
   * @return true if which of the two applies would be undecided
   */
  public boolean overlaps(RouteEntry o) {
    return methods.stream().anyMatch(o.methods::contains) && path.overlaps(o.path);
  }
}
