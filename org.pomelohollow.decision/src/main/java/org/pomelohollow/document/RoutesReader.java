package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.ServiceId;

/** Reads the array of tables {@code [[routes]]} and rejects overlapping routes. */
final class RoutesReader {
  private static final int MAX_ROUTES = 2_000;
  private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;
  private static final Set<String> SUPPORTED_METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private final TomlSection top;
  private final List<String> priorities;
  private final List<RouteEntry> routes = new ArrayList<>();
  private final Set<String> names = new HashSet<>();

  RoutesReader(TomlSection top, List<String> priorities) {
    this.top = top;
    this.priorities = priorities;
  }

  List<RouteEntry> read() {
    for (TomlSection s : top.tables("routes", MAX_ROUTES)) {
      readRoute(s).ifPresent(r -> add(s, r));
    }
    return routes;
  }

  private void add(TomlSection s, RouteEntry r) {
    for (RouteEntry o : routes) {
      if (o.overlaps(r)) {
        s.report(
            "path", ErrorCode.DOCUMENT_ROUTE_OVERLAP, "overlaps with route \"" + o.name() + "\"");
      }
    }
    routes.add(r);
  }

  private Optional<RouteEntry> readRoute(TomlSection s) {
    Optional<String> name = readName(s);
    Optional<ServiceId> service = readService(s);
    Set<String> methods = readMethods(s);
    Optional<PathPattern> path = s.requiredValue("path", PathPattern::parse);
    Optional<Priority> priority = readPriority(s);
    boolean idempotent = s.flag("idempotent", false);
    boolean open = s.flag("open", false);
    long timeout =
        s.integer("timeout_ms", DEFAULT_TIMEOUT_MILLIS, 1, RouteEntry.MAX_TIMEOUT_MILLIS);
    boolean bulk = s.flag("bulk", false);
    s.rejectUnknownKeys();
    if (name.isEmpty() || service.isEmpty() || path.isEmpty() || priority.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new RouteEntry(
            name.get(),
            service.get(),
            methods,
            path.get(),
            priority.get(),
            idempotent,
            open,
            timeout,
            bulk));
  }

  private Optional<String> readName(TomlSection s) {
    Optional<String> name = s.optionalName("name");
    if (!s.has("name")) {
      s.report("name", ErrorCode.TOML_MISSING_KEY, "is missing");
    }
    name.filter(n -> !names.add(n))
        .ifPresent(
            n ->
                s.report(
                    "name",
                    ErrorCode.DOCUMENT_DUPLICATE,
                    "\"" + n + "\" is the name of another route too"));
    return name;
  }

  private Optional<ServiceId> readService(TomlSection s) {
    Optional<ServiceId> service = s.requiredValue("service", ServiceId::new);
    service
        .filter(e -> !top.hasEntry("services", e.value()))
        .ifPresent(
            e ->
                s.report(
                    "service",
                    ErrorCode.DOCUMENT_DANGLING_NAME,
                    "service \"" + e.value() + "\" is not defined"));
    return service;
  }

  private static Set<String> readMethods(TomlSection s) {
    Set<String> methods = new HashSet<>();
    for (String m : s.strings("methods")) {
      if (!SUPPORTED_METHODS.contains(m)) {
        s.report(
            "methods", ErrorCode.TOML_OUT_OF_RANGE, "\"" + m + "\" is not a supported HTTP method");
      } else if (!methods.add(m)) {
        s.report("methods", ErrorCode.DOCUMENT_DUPLICATE, "lists " + m + " twice");
      }
    }
    if (methods.isEmpty()) {
      s.report("methods", ErrorCode.TOML_MISSING_KEY, "must list at least one HTTP method");
    }
    return methods;
  }

  private Optional<Priority> readPriority(TomlSection s) {
    Optional<String> name = s.requiredValue("priority", n -> n);
    int rank = priorities.indexOf(name.orElse(""));
    if (rank >= 0) {
      return Optional.of(new Priority(rank));
    }
    name.ifPresent(
        n ->
            s.report(
                "priority",
                ErrorCode.DOCUMENT_DANGLING_NAME,
                "priority \"" + n + "\" is not defined"));
    return Optional.empty();
  }
}
