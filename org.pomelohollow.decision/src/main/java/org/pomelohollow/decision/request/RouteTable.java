package org.pomelohollow.decision.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RouteEntry;

/**
 * Finds routes. Routes of a host are looked up by the prefixes of the path, the longest first;
 * routes for all hosts are tried in the order of the document.
 */
final class RouteTable {
  private final Map<String, Map<String, RouteEntry>> byHost = new HashMap<>();
  private final List<RouteEntry> others = new ArrayList<>();

  RouteTable(Document d) {
    for (RouteEntry r : d.routes()) {
      Optional<String> prefix = r.path().literalPrefix();
      if (r.host().isPresent() && prefix.isPresent()) {
        byHost.computeIfAbsent(r.host().get(), k -> new HashMap<>()).put(prefix.get(), r);
      } else {
        others.add(r);
      }
    }
  }

  Optional<RouteEntry> find(RequestHead h) {
    Map<String, RouteEntry> own = h.host().map(byHost::get).orElse(null);
    if (own != null) {
      Optional<RouteEntry> r = longestPrefix(own, h);
      if (r.isPresent()) {
        return r;
      }
    }
    return others.stream()
        .filter(r -> r.host().isEmpty() || r.host().equals(h.host()))
        .filter(r -> r.acceptsMethod(h.method()) && r.path().matches(h.path()))
        .findFirst();
  }

  private static Optional<RouteEntry> longestPrefix(Map<String, RouteEntry> own, RequestHead h) {
    String path = h.path();
    for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
      RouteEntry r = own.get(path.substring(0, slash + 1));
      if (r != null && r.acceptsMethod(h.method())) {
        return Optional.of(r);
      }
    }
    return Optional.empty();
  }
}
