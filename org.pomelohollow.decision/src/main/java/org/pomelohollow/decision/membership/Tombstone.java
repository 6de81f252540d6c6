package org.pomelohollow.decision.membership;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/**
 * Record of a member declared dead, which keeps outdated updates from bringing it back.
 *
 * @param member last description of the member
 * @param version version of that description; only a higher one overrides the death at once
 * @param declaredDeadAtNanos monotonic time at which the member was declared dead, in nanoseconds
 * @param holdDownNanos hold-down time: how long reports of peers don't bring the member back at the
 *     same version, in nanoseconds
 */
record Tombstone(Member member, long version, long declaredDeadAtNanos, long holdDownNanos) {
  /** Returns the identity of the member. */
  MemberId id() {
    return member.id();
  }
}
