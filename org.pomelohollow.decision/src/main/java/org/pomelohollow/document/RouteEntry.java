package org.pomelohollow.document;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;

/**
 * A route: selects requests, maps them to services and defines how they are handled.
 *
 * @param name unique name of the route
 * @param host host name that the requests are addressed to, in lower case; empty if the route
 *     applies to all hosts
 * @param services services that run the requests, at least one; several share the requests by
 *     weight
 * @param methods HTTP methods in upper case, empty if all
 * @param path pattern that the path of a request must match
 * @param priority priority of the requests
 * @param idempotent whether a request may be attempted again after it may have run
 * @param open whether requests need no API key
 * @param timeoutMillis maximum time for the whole request, in milliseconds
 * @param bulk whether responses are large transfers, which are limited separately from short ones
 * @param maxAttempts maximum number of attempts of one request, at least 1
 * @param latencyObjectiveMillis latency objective: the time within which a response has its full
 *     value, in milliseconds
 */
public record RouteEntry(
    String name,
    Optional<String> host,
    List<WeightedService> services,
    Set<String> methods,
    PathPattern path,
    Priority priority,
    boolean idempotent,
    boolean open,
    long timeoutMillis,
    boolean bulk,
    int maxAttempts,
    long latencyObjectiveMillis) {

  /** Maximum timeout of a request, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  /** Attempts of a route without a limit of its own; the retry allowance still limits them. */
  public static final int UNBOUNDED_ATTEMPTS = Integer.MAX_VALUE;

  /** Creates a route after checking the ranges. */
  public RouteEntry {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(priority, "priority");
    services = List.copyOf(services);
    if (services.isEmpty()) {
      throw new IllegalArgumentException("route " + name + " has no service");
    }
    methods = Set.copyOf(methods);
    Ranges.check("timeout_ms", timeoutMillis, 1, MAX_TIMEOUT_MILLIS);
    Ranges.check("attempts", maxAttempts, 1, UNBOUNDED_ATTEMPTS);
  }

  /**
   * Creates a route to one service for all hosts, without a limit of its own on attempts. Its
   * latency objective is the timeout.
   *
   * @param name unique name of the route
   * @param service service that runs the requests
   * @param methods HTTP methods in upper case
   * @param path pattern that the path of a request must match
   * @param priority priority of the requests
   * @param idempotent whether a request may be attempted again after it may have run
   * @param open whether requests need no API key
   * @param timeoutMillis maximum time for the whole request, in milliseconds
   * @param bulk whether responses are large transfers
   */
  public RouteEntry(
      String name,
      ServiceId service,
      Set<String> methods,
      PathPattern path,
      Priority priority,
      boolean idempotent,
      boolean open,
      long timeoutMillis,
      boolean bulk) {
    this(
        name,
        Optional.empty(),
        List.of(new WeightedService(service, 1)),
        methods,
        path,
        priority,
        idempotent,
        open,
        timeoutMillis,
        bulk,
        UNBOUNDED_ATTEMPTS,
        timeoutMillis);
  }

  /** Returns the first service of the route, which is the only one unless requests are split. */
  public ServiceId service() {
    return services.get(0).service();
  }

  /**
   * Returns whether the route applies to an HTTP method.
   *
   * @param method HTTP method in upper case
   * @return true if the route lists the method or applies to all methods
   */
  public boolean acceptsMethod(String method) {
    return methods.isEmpty() || methods.contains(method);
  }

  /**
   * Returns whether this route and another match a common request with equal precedence. Routes
   * without listed methods overlap with none.
   *
   * @param o another route, not null
   * @return true if it would be ambiguous which of the two applies
   */
  public boolean overlaps(RouteEntry o) {
    return methods.stream().anyMatch(o.methods::contains) && path.overlaps(o.path);
  }
}
