package org.pomelohollow.decision.rates;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.membership.MemberJoined;
import org.pomelohollow.decision.membership.MemberLeft;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.Roster;

/**
 * Hosts whose daemons may be running, whether or not this daemon reaches them. A part of a divided
 * fleet that grants only in proportion to the hosts that it holds never grants more than the whole,
 * together with the other parts.
 */
final class FleetSizeEstimator {
  /** Time after which a host that left without a word is taken to be gone for good. */
  private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Hosts assumed while nothing is known of any other: a small deployment. */
  private static final int UNKNOWN_FLEET = 8;

  private final Map<String, Long> seenNanos = new HashMap<>();
  private boolean informed;
  private int live = 1;

  void applyLog(Event.LogRead r, long nowNanos) {
    informed = true;
    for (StoredEntry e : r.entries()) {
      if (e.entry().orElse(null) instanceof MemberJoined j) {
        seenNanos.put(j.member().host(), nowNanos);
      } else if (e.entry().orElse(null) instanceof MemberLeft l) {
        seenNanos.remove(l.member().host());
      }
    }
  }

  void applyRoster(Roster roster, long nowNanos) {
    live = 0;
    for (Member m : roster.members()) {
      if (m.leaving()) {
        seenNanos.remove(m.id().host());
      } else {
        live++;
        seenNanos.put(m.id().host(), nowNanos);
      }
    }
    informed |= live > 1;
    live = Math.max(1, live);
    seenNanos.values().removeIf(t -> nowNanos - t > FORGET_NANOS);
  }

  /** Returns the number of hosts that may be running. */
  int hostCount() {
    int known = Math.max(live, seenNanos.size());
    return informed ? known : Math.max(known, UNKNOWN_FLEET);
  }

  /** Returns the part of the fleet that this daemon reaches, above 0 and at most 1. */
  double reachedShare() {
    return (double) live / hostCount();
  }
}
