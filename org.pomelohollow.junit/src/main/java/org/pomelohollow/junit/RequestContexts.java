package org.pomelohollow.junit;

import java.time.Duration;
import java.util.Optional;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;

/** Contexts of root requests for tests. */
public final class RequestContexts {
  private RequestContexts() {}

  /**
   * Creates a context of a root request of the service {@code s} that has an hour left at time 0.
   *
   * @param id identifier of the request
   * @param idempotent whether it may run more than once
   * @return the context
   */
  public static RequestContext of(String id, boolean idempotent) {
    return new RequestContext(
        id,
        id,
        new ServiceId("s"),
        "route",
        Optional.empty(),
        new Priority(0),
        Duration.ofHours(1).toNanos(),
        idempotent,
        Optional.empty(),
        1,
        0,
        0);
  }
}
