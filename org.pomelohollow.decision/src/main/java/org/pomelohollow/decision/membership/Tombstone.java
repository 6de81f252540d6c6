package org.pomelohollow.decision.membership;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/**
 * A member found dead. Bars news that is not newer than its death.
 *
 * @param member last description of the member
 * @param version last version of its entry
 * @param atNanos when it was found dead, monotonic, in nanoseconds
 * @param holdNanos how long the word of peers doesn't bring it back, in nanoseconds
 */
record Tombstone(Member member, long version, long atNanos, long holdNanos) {
  MemberId id() {
    return member.id();
  }
}
