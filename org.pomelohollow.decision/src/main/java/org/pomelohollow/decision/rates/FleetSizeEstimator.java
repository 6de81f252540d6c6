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
 * Estimates the number of hosts whose daemons may be running, whether or not this daemon can reach
 * them.
 *
 * <p>During a network partition each side grants tokens only in proportion to its share of these
 * hosts, so that all sides together grant at most what the undivided fleet would.
 */
final class FleetSizeEstimator {
  /** Time after which a host that disappeared without announcing it is no longer counted. */
  private static final long ABSENT_HOST_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** Number of hosts assumed until another host is known: that of a small deployment. */
  private static final int INITIAL_HOST_COUNT = 8;

  private final Map<String, Long> lastSeenNanosByHost = new HashMap<>();
  private boolean hasInformation;
  private int liveHosts = 1;

  /** Adds the hosts that joined and removes those that left, according to entries of the log. */
  void applyLog(Event.LogRead logRead, long nowNanos) {
    hasInformation = true;
    for (StoredEntry storedEntry : logRead.entries()) {
      if (storedEntry.entry().orElse(null) instanceof MemberJoined j) {
        lastSeenNanosByHost.put(j.member().host(), nowNanos);
      } else if (storedEntry.entry().orElse(null) instanceof MemberLeft l) {
        lastSeenNanosByHost.remove(l.member().host());
      }
    }
  }

  /** Sets the reachable hosts, and drops the hosts that have not been seen for a long time. */
  void applyRoster(Roster roster, long nowNanos) {
    liveHosts = 0;
    for (Member m : roster.members()) {
      if (m.leaving()) {
        lastSeenNanosByHost.remove(m.id().host());
      } else {
        liveHosts++;
        lastSeenNanosByHost.put(m.id().host(), nowNanos);
      }
    }
    hasInformation |= liveHosts > 1;
    liveHosts = Math.max(1, liveHosts);
    lastSeenNanosByHost.values().removeIf(t -> nowNanos - t > ABSENT_HOST_NANOS);
  }

  /** Returns the number of hosts that may be running. */
  int hostCount() {
    int knownHosts = Math.max(liveHosts, lastSeenNanosByHost.size());
    return hasInformation ? knownHosts : Math.max(knownHosts, INITIAL_HOST_COUNT);
  }

  /** Returns the share of the hosts that this daemon can reach, above 0 and at most 1. */
  double reachedShare() {
    return (double) liveHosts / hostCount();
  }
}
