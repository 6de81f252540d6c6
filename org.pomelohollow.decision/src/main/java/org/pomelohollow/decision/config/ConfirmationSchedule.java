package org.pomelohollow.decision.config;

import java.util.concurrent.TimeUnit;
import org.pomelohollow.model.Roster;

/**
 * Decides when this daemon asks the store whether its configuration is the newest.
 *
 * <p>A read that waits for the next change brings it at once, but not if its connection has fallen
 * silent, which ends no read. So one daemon of the fleet, the first in the order of {@link
 * RosterRank}, asks all the time, and the others learn from its heartbeats that nothing has
 * changed. Any other daemon asks for itself once its knowledge is old: when the first one is gone
 * or cut off from the store, and when it is itself cut off from its peers. The load on the store
 * thus hardly grows with the fleet.
 */
final class ConfirmationSchedule {
  /** Age of its knowledge at which the first daemon asks. */
  private static final long FIRST_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /**
   * Age of its knowledge at which any other daemon asks. With the jitter and the time of a response
   * it stays below the 2 s in which a change has to be in force.
   */
  private static final long OTHERS_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);

  private static final long MAX_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time in which the waiting read usually brings a version that peers have. */
  private static final long MAX_BEHIND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Time after which a question is repeated; a slow store takes up to 300 ms for a response. */
  private static final long FIRST_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long MAX_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** As for a long poll: whatever is missing is in force already, by way of a peer. */
  private static final long MAX_BEHIND_RETRY_NANOS = TimeUnit.SECONDS.toNanos(25);

  private boolean asked;
  private long askedNanos;
  private long retryNanos = FIRST_RETRY_NANOS;
  private boolean behind;
  private long behindSinceNanos;

  /**
   * Decides whether to ask the store now, and if so counts the question as asked.
   *
   * @param roster live members
   * @param ageNanos time since the active version was last confirmed to be the newest, {@link
   *     Long#MAX_VALUE} if never
   * @param isBehind whether a version is known that this daemon has not read from the store itself
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if the store has to be asked
   */
  boolean startIfDue(Roster roster, long ageNanos, boolean isBehind, long nowNanos) {
    if (isBehind && !behind) {
      behindSinceNanos = nowNanos;
      retryNanos = FIRST_RETRY_NANOS;
    }
    behind = isBehind;
    boolean overdue = behind && nowNanos - behindSinceNanos >= MAX_BEHIND_NANOS;
    boolean fresh = ageNanos < FIRST_MAX_AGE_NANOS || ageNanos < maxAgeNanos(roster);
    if (!overdue && fresh) {
      return false;
    }
    // Peers keep knowledge fresh that does not bring the version which is missing here.
    boolean answered = asked && !fresh && ageNanos <= nowNanos - askedNanos;
    if (asked && !answered && nowNanos - askedNanos < retryNanos) {
      return false;
    }
    long maxRetryNanos = fresh ? MAX_BEHIND_RETRY_NANOS : MAX_RETRY_NANOS;
    retryNanos = answered || !asked ? FIRST_RETRY_NANOS : Math.min(2 * retryNanos, maxRetryNanos);
    asked = true;
    askedNanos = nowNanos;
    return true;
  }

  private static long maxAgeNanos(Roster roster) {
    return RosterRank.of(roster) == 0
        ? FIRST_MAX_AGE_NANOS
        : OTHERS_MAX_AGE_NANOS + RosterRank.jitter(roster.self(), MAX_JITTER_NANOS);
  }
}
