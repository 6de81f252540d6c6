package org.pomelohollow.decision.routing;

import java.util.List;
import java.util.Optional;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Decides which requests leave the availability zone of their entry daemon. */
public interface ZonePolicy {
  /**
   * Returns whether {@link #update} should be called for a service.
   *
   * @param service the service
   * @param nowNanos current monotonic time, in nanoseconds
   */
  boolean isDue(ServiceId service, long nowNanos);

  /**
   * Adapts to the load of a service.
   *
   * @param service the service
   * @param own load of its targets in the own zone
   * @param others loads of its targets in the other zones
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void update(ServiceId service, ZoneLoad own, List<ZoneLoad> others, long nowNanos);

  /**
   * Returns whether the own zone counts as busy for targets whose load is unknown.
   *
   * @param service the service
   */
  boolean isOwnZoneBusy(ServiceId service);

  /**
   * Chooses the zone that requests of a service leave for.
   *
   * @param service the service
   * @return a zone, or empty if all members in the other zones are candidates alike
   */
  Optional<ZoneId> chooseZone(ServiceId service);

  /**
   * Returns whether a request leaves the zone.
   *
   * @param choice the request and its two possible targets
   */
  boolean leaves(Choice choice);

  /**
   * Load of a service's targets in one zone.
   *
   * @param zone the zone
   * @param slots sum of the limits of the targets
   * @param utilization mean utilization of the targets with a recent load report, weighted by their
   *     limits; 0 without one
   * @param completionNanos their mean expected time to completion in nanoseconds; 0 if unknown
   * @param reported whether at least one target has a recent load report
   */
  record ZoneLoad(
      ZoneId zone, double slots, double utilization, double completionNanos, boolean reported) {}

  /**
   * A possible target of a request.
   *
   * @param utilization requests at the target over its limit
   * @param nextUtilization the same after one more request
   * @param completionNanos expected time to completion in nanoseconds; 0 if unknown
   * @param reported whether the target has a recent load report
   */
  record Pick(
      double utilization, double nextUtilization, double completionNanos, boolean reported) {
    /** Returns whether a request would wait for a slot. */
    boolean isFull() {
      return nextUtilization > 1 && utilization > 0;
    }
  }

  /**
   * A request that may leave the zone.
   *
   * @param service service that is called
   * @param own best target in the own zone
   * @param other best target in the other zones
   * @param bestInOwnZone whether no other target in the own zone is better
   * @param bodyBytes length of the request body in bytes
   * @param retry whether an earlier attempt of the request failed
   */
  record Choice(
      ServiceId service,
      Pick own,
      Pick other,
      boolean bestInOwnZone,
      long bodyBytes,
      boolean retry) {}
}
