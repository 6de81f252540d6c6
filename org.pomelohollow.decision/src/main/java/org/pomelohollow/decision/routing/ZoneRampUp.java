package org.pomelohollow.decision.routing;

import java.util.HashMap;
import java.util.Map;
import org.pomelohollow.document.Document;
import org.pomelohollow.model.ZoneId;

/** Weights of availability zones: the weight of a zone that returns to service rises linearly. */
final class ZoneRampUp {
  private static final double INITIAL_WEIGHT = 0.1;
  private static final double RAMP_UP_NANOS = 10e9;

  private final Map<ZoneId, Long> returnedNanos = new HashMap<>();

  void update(Document previous, Document current, long nowNanos) {
    for (ZoneId z : current.zones().keySet()) {
      if (!current.isInService(z)) {
        returnedNanos.remove(z);
      } else if (!previous.isInService(z)) {
        returnedNanos.put(z, nowNanos);
      }
    }
  }

  /** Returns the weight of a zone, from {@link #INITIAL_WEIGHT} to 1. */
  double weight(ZoneId z, long nowNanos) {
    Long returnNanos = returnedNanos.get(z);
    if (returnNanos == null) {
      return 1;
    }
    return Math.min(
        1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * (nowNanos - returnNanos) / RAMP_UP_NANOS);
  }
}
