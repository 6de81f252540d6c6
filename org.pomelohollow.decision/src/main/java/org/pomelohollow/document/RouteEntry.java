package org.pomelohollow.document;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;

/**
 * A route: which requests go to a service, and how they are treated.
 *
 * @param name unique name
 * @param host host name of the requests in lower case, empty if the route holds for all hosts
 * @param services services that run the request; more than one share the requests by weight
 * @param methods HTTP methods in upper case, empty if all
 * @param path pattern of the path
 * @param priority priority of the requests
 * @param idempotent whether a request may be attempted again after it may have run
 * @param open whether the route needs no key
 * @param timeoutMillis longest time for the whole request, in milliseconds
 * @param bulk whether answers are large transfers that are bounded apart from short calls
 * @param maxAttempts most targets that one request may reach
 * @param objectiveMillis latency within which an answer is of full use, in milliseconds
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
    long objectiveMillis) {

  /** Longest timeout, in milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  /** Bound on attempts of a route that sets none; the retry allowance is the narrower one. */
  public static final int ANY_ATTEMPTS = Integer.MAX_VALUE;

  /** Checks the fields. */
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
    Ranges.check("attempts", maxAttempts, 1, ANY_ATTEMPTS);
  }

  /**
   * Creates a route to one service for all hosts, without a bound of its own on attempts.
   *
   * @param name unique name
   * @param service service that runs the request
   * @param methods HTTP methods in upper case
   * @param path pattern of the path
   * @param priority priority of the requests
   * @param idempotent whether a request may be attempted again after it may have run
   * @param open whether the route needs no key
   * @param timeoutMillis longest time for the whole request, in milliseconds
   * @param bulk whether answers are large transfers
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
        ANY_ATTEMPTS,
        timeoutMillis);
  }

  /** Returns the first service of the route, its only one unless requests are split. */
  public ServiceId service() {
    return services.get(0).service();
  }

  /**
   * Tells whether a method is one of the route's.
   *
   * @param method HTTP method in upper case
   * @return true if the route takes it
   */
  public boolean takes(String method) {
    return methods.isEmpty() || methods.contains(method);
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
