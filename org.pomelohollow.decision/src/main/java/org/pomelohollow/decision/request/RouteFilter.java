package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.function.Supplier;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.document.WeightedService;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/** Determines the route of a request and, by weight if the route has several, its service. */
public final class RouteFilter implements Filter {
  private static final double HASH_RANGE = 0x1p63;

  private final Supplier<Optional<VersionedDocument>> configuration;
  private long tableVersion;
  private Optional<RouteTable> table = Optional.empty();

  /**
   * Creates a filter.
   *
   * @param configuration supplies the active configuration
   */
  public RouteFilter(Supplier<Optional<VersionedDocument>> configuration) {
    this.configuration = configuration;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<VersionedDocument> active = configuration.get();
    if (active.isEmpty()) {
      x.refuse(ErrorCode.NO_CONFIGURATION);
      return;
    }
    Optional<RouteEntry> r = tableOf(active.get()).find(x.head());
    if (r.isEmpty()) {
      x.refuse(ErrorCode.ROUTE_UNKNOWN);
      return;
    }
    x.setRoute(r.get(), chooseService(r.get(), x.head().requestId()));
    next.proceed(x, nowNanos);
  }

  private RouteTable tableOf(VersionedDocument v) {
    if (table.isEmpty() || tableVersion != v.version()) {
      tableVersion = v.version();
      table = Optional.of(new RouteTable(v.document()));
    }
    return table.orElseThrow();
  }

  /** Chooses a service by weight; a request identifier always maps to the same service. */
  private static ServiceId chooseService(RouteEntry r, String requestId) {
    if (r.services().size() == 1) {
      return r.service();
    }
    double totalWeight = 0;
    for (WeightedService s : r.services()) {
      totalWeight += s.weight();
    }
    double remainingWeight = (StableHash.of(requestId) >>> 1) / HASH_RANGE * totalWeight;
    for (WeightedService s : r.services()) {
      remainingWeight -= s.weight();
      if (remainingWeight < 0) {
        return s.service();
      }
    }
    return r.service();
  }
}
