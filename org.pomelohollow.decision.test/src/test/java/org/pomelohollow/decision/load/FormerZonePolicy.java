package org.pomelohollow.decision.load;

import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.routing.ZonePolicy;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Rule that {@code ZoneSpill} replaced, for comparison: a request whose target in the own zone is
 * busier than 0.7 goes to the target with the lower product of utilization and latency.
 */
final class FormerZonePolicy implements ZonePolicy {
  @Override
  public boolean isDue(ServiceId service, long nowNanos) {
    return false;
  }

  @Override
  public void update(ServiceId service, ZoneLoad own, List<ZoneLoad> others, long nowNanos) {
    throw new AssertionError("never due");
  }

  @Override
  public boolean isOwnZoneBusy(ServiceId service) {
    return false;
  }

  @Override
  public Optional<ZoneId> chooseZone(ServiceId service) {
    return Optional.empty();
  }

  @Override
  public boolean leaves(Choice c) {
    return cost(c.other()) < cost(c.own());
  }

  private static double cost(Pick p) {
    double latency = p.completionNanos() / Math.max(1, p.nextUtilization());
    return p.nextUtilization() * (latency > 0 ? latency : 1);
  }
}
