package org.pomelohollow.decision.rollout;

import java.util.Comparator;
import java.util.List;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.StableHash;

/** Ranks members as evaluators of an order by rendezvous hashing. */
final class Evaluators {
  /** Number of evaluators of an order. */
  static final int COUNT = 3;

  private Evaluators() {}

  /** Returns the evaluators of an order among the live members, the first one first. */
  static List<MemberId> of(String orderId, Roster roster) {
    return roster.members().stream()
        .filter(m -> !m.leaving())
        .map(Member::id)
        .sorted(order(orderId))
        .limit(COUNT)
        .toList();
  }

  static Comparator<MemberId> order(String orderId) {
    return Comparator.<MemberId>comparingLong(m -> StableHash.of(orderId + "@" + m.host()))
        .thenComparing(m -> m);
  }
}
