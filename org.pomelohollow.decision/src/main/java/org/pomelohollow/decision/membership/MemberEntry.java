package org.pomelohollow.decision.membership;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/** State that this daemon keeps of a live member. */
final class MemberEntry {
  private final MemberId id;
  private final long[] positions;
  private Member member;
  private long version;
  private long highestSequence;
  private boolean suspected;
  private long suspicionDeadlineNanos;
  private boolean unreachable;
  private long unreachableSinceNanos;
  private long confirmedEpoch;
  private long holdDownNanos;

  /**
   * Creates the entry of a member that is reachable and not suspected.
   *
   * @param member description of the member
   * @param version version of that description
   * @param holdDownNanos hold-down time of the member's tombstone, once it is declared dead, in
   *     nanoseconds
   */
  MemberEntry(Member member, long version, long holdDownNanos) {
    this.id = member.id();
    this.member = member;
    this.version = version;
    this.holdDownNanos = holdDownNanos;
    this.positions = NeighbourRings.positions(id.host());
  }

  MemberId id() {
    return id;
  }

  Member member() {
    return member;
  }

  long version() {
    return version;
  }

  /**
   * Returns the member's position on a ring.
   *
   * @param ring index of the ring, from 0
   * @return the position, any value
   */
  long position(int ring) {
    return positions[ring];
  }

  /**
   * Returns the hold-down time: how long after the member is declared dead reports of peers do not
   * bring it back, in nanoseconds.
   */
  long holdDownNanos() {
    return holdDownNanos;
  }

  boolean isSuspected() {
    return suspected;
  }

  /**
   * Returns whether the member is suspected and its time to refute the suspicion is over.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if the member is to be declared dead
   */
  boolean isSuspicionExpired(long nowNanos) {
    return suspected && nowNanos - suspicionDeadlineNanos >= 0;
  }

  /**
   * Marks the member as suspected, or moves the deadline of a suspicion.
   *
   * @param suspicionDeadlineNanos monotonic time by which the member has to refute the suspicion,
   *     in nanoseconds
   */
  void suspect(long suspicionDeadlineNanos) {
    suspected = true;
    this.suspicionDeadlineNanos = suspicionDeadlineNanos;
  }

  /**
   * Applies a later version of the entry, which also refutes a suspicion.
   *
   * @param member description of the member
   * @param version version of that description
   */
  void update(Member member, long version) {
    this.member = member;
    this.version = version;
    suspected = false;
  }

  /**
   * Applies a change of the target's limit, which doesn't raise the version of the entry.
   *
   * @param latest description of the member
   * @return whether it differs from the one before
   */
  boolean refreshLimit(Member latest) {
    boolean changed = !member.equals(latest);
    member = latest;
    return changed;
  }

  /** Returns the highest sequence number of the member's heartbeats, 0 if none was received. */
  long highestSequence() {
    return highestSequence;
  }

  /**
   * Records the sequence number of a heartbeat.
   *
   * @param sequence sequence number of a heartbeat of the member
   * @return false if the same heartbeat or a later one was received before
   */
  boolean recordSequence(long sequence) {
    boolean later = sequence > this.highestSequence;
    this.highestSequence = Math.max(sequence, this.highestSequence);
    return later;
  }

  /** Returns whether this daemon can't reach the member, though others may. */
  boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Marks the member as unreachable from this daemon.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return false if it was unreachable already
   */
  boolean markUnreachable(long nowNanos) {
    boolean wasReachable = !unreachable;
    unreachable = true;
    unreachableSinceNanos = nowNanos;
    return wasReachable;
  }

  /**
   * Records that the member has acknowledged a heartbeat.
   *
   * @param sentAtNanos when this daemon sent the heartbeat, monotonic, in nanoseconds
   * @return whether that makes the member reachable again
   */
  boolean recordAck(long sentAtNanos) {
    boolean reachableAgain = unreachable && sentAtNanos - unreachableSinceNanos > 0;
    unreachable &= !reachableAgain;
    return reachableAgain;
  }

  /**
   * Records that the member is known to be live in an epoch of this daemon's view.
   *
   * @param epoch the epoch, as in {@link ViewConfirmation#epoch}
   */
  void confirmIn(long epoch) {
    confirmedEpoch = epoch;
  }

  /**
   * Returns whether the member is known to be live in an epoch of this daemon's view.
   *
   * @param epoch the epoch, as in {@link ViewConfirmation#epoch}
   * @return true if it was recorded for that epoch
   */
  boolean isConfirmedIn(long epoch) {
    return confirmedEpoch == epoch;
  }

  /** Returns the entry as it is sent to peers. */
  RosterEntry toRosterEntry() {
    return new RosterEntry(member, version);
  }
}
