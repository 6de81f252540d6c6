package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.function.Supplier;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.WeightedService;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/** Finds the route of a request, and its service if several share the route by weight. */
public final class RouteFilter implements Filter {
  private static final double HASH_RANGE = 0x1p63;

  private final Supplier<Optional<VersionedDocument>> configuration;
  private long indexedVersion;
  private Optional<RouteTable> table = Optional.empty();

  /**
   * Creates a filter.
   *
   * @param configuration gives the configuration in force
   */
  public RouteFilter(Supplier<Optional<VersionedDocument>> configuration) {
    this.configuration = configuration;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<VersionedDocument> v = configuration.get();
    if (v.isEmpty()) {
      x.refuse(ErrorCode.NO_CONFIGURATION);
      return;
    }
    Optional<RouteEntry> r = tableOf(v.get()).find(x.head());
    if (r.isEmpty()) {
      x.refuse(ErrorCode.ROUTE_UNKNOWN);
      return;
    }
    x.setRoute(r.get(), choose(r.get(), x.head().requestId()));
    next.proceed(x, nowNanos);
  }

  private RouteTable tableOf(VersionedDocument v) {
    if (table.isEmpty() || indexedVersion != v.version()) {
      indexedVersion = v.version();
      table = Optional.of(new RouteTable(v.document()));
    }
    return table.orElseThrow();
  }

  /** Chooses a service by weight; the same request always gets the same one. */
  private static ServiceId choose(RouteEntry r, String requestId) {
    if (r.services().size() == 1) {
      return r.service();
    }
    double sum = r.services().stream().mapToDouble(WeightedService::weight).sum();
    double at = (StableHash.of(requestId) >>> 1) / HASH_RANGE * sum;
    for (WeightedService s : r.services()) {
      at -= s.weight();
      if (at < 0) {
        return s.service();
      }
    }
    return r.service();
  }
}
