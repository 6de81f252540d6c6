package org.pomelohollow.decision.request;

import java.util.Optional;
import java.util.function.Supplier;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.RouteEntry;
import org.pomelohollow.errors.ErrorCode;

/** Finds the route of a request. */
public final class RouteFilter implements Filter {
  private final Supplier<Optional<VersionedDocument>> configuration;

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
    Optional<RouteEntry> r = find(v.get().document(), x.head());
    if (r.isEmpty()) {
      x.refuse(ErrorCode.ROUTE_UNKNOWN);
      return;
    }
    x.setRoute(r.get());
    next.proceed(x, nowNanos);
  }

  private static Optional<RouteEntry> find(Document d, RequestHead h) {
    return d.routes().stream()
        .filter(r -> r.methods().contains(h.method()) && r.path().matches(h.path()))
        .findFirst();
  }
}
