package org.pomelohollow.decision.routing;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.document.Document;
import org.pomelohollow.model.ZoneId;

/** Raises the weight of availability zones that return to service step by step. */
final class ZoneRampUp {
  private static final double FIRST_WEIGHT = 0.1;
  private static final double RETURN_NANOS = 10e9;

  private final Map<ZoneId, Long> returnedNanos = new HashMap<>();

  void update(Document from, Document to, long nowNanos) {
    for (ZoneId z : to.zones().keySet()) {
      if (!to.isInService(z)) {
        returnedNanos.remove(z);
      } else if (!from.isInService(z)) {
        returnedNanos.put(z, nowNanos);
      }
    }
  }

  /** Returns a weight of at most 1. */
  double weight(ZoneId z, long nowNanos) {
    Long since = returnedNanos.get(z);
    if (since == null) {
      return 1;
    }
    return Math.min(1, FIRST_WEIGHT + (1 - FIRST_WEIGHT) * (nowNanos - since) / RETURN_NANOS);
  }
}
