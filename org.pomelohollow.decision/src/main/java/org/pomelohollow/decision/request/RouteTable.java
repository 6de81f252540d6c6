package org.pomelohollow.decision.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RouteEntry;

/**
 * Finds the routes of requests in one configuration. Routes for one host whose path pattern is a
 * prefix are looked up by host and path prefix, the longest prefix first; all other routes are
 * scanned in the order of the document.
 */
final class RouteTable {
  private final Map<String, Map<String, RouteEntry>> prefixRoutesByHost = new HashMap<>();
  private final List<RouteEntry> scannedRoutes = new ArrayList<>();

  RouteTable(Document d) {
    for (RouteEntry r : d.routes()) {
      Optional<String> prefix = r.path().literalPrefix();
      if (r.host().isPresent() && prefix.isPresent()) {
        prefixRoutesByHost
            .computeIfAbsent(r.host().get(), k -> new HashMap<>())
            .put(prefix.get(), r);
      } else {
        scannedRoutes.add(r);
      }
    }
  }

  Optional<RouteEntry> find(RequestHead h) {
    Map<String, RouteEntry> hostRoutes = h.host().map(prefixRoutesByHost::get).orElse(null);
    if (hostRoutes != null) {
      Optional<RouteEntry> r = findLongestPrefix(hostRoutes, h);
      if (r.isPresent()) {
        return r;
      }
    }
    return scannedRoutes.stream()
        .filter(r -> r.host().isEmpty() || r.host().equals(h.host()))
        .filter(r -> r.acceptsMethod(h.method()) && r.path().matches(h.path()))
        .findFirst();
  }

  private static Optional<RouteEntry> findLongestPrefix(
      Map<String, RouteEntry> routes, RequestHead h) {
    String path = h.path();
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      RouteEntry r = routes.get(path.substring(0, slash + 1));
      if (r != null && r.acceptsMethod(h.method())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }
}
