package org.pomelohollow.decision.membership;

import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/** A live member as this daemon knows it. */
final class MemberEntry {
  private final MemberId id;
  private final long[] positions;
  private Member member;
  private long version;
  private long sequence;
  private boolean suspected;
  private long confirmedDeadAtNanos;
  private boolean unreachable;
  private long lostAtNanos;
  private long vouchedIn;
  private long holdNanos;

  MemberEntry(Member member, long version, long holdNanos) {
    this.id = member.id();
    this.member = member;
    this.version = version;
    this.holdNanos = holdNanos;
    this.positions = Rings.positions(id.host());
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

  /** Returns the member's place on each ring. */
  long position(int ring) {
    return positions[ring];
  }

  /** Returns how long the member stays dead against the word of peers, once found dead. */
  long holdNanos() {
    return holdNanos;
  }

  boolean isSuspected() {
    return suspected;
  }

  /** Tells whether a suspected member has had its time to refute. */
  boolean isDue(long nowNanos) {
    return suspected && nowNanos - confirmedDeadAtNanos >= 0;
  }

  void suspect(long confirmedDeadAtNanos) {
    suspected = true;
    this.confirmedDeadAtNanos = confirmedDeadAtNanos;
  }

  /** Takes a later version, which also refutes a suspicion. */
  void update(Member member, long version) {
    this.member = member;
    this.version = version;
    suspected = false;
  }

  /** Takes load figures that have no version of their own. */
  boolean refresh(Member latest) {
    boolean changed = !member.equals(latest);
    member = latest;
    return changed;
  }

  /** Returns the highest sequence number of its heartbeats, 0 if none came. */
  long sequence() {
    return sequence;
  }

  /**
   * Notes the sequence number of a heartbeat.
   *
   * @return false if a later heartbeat came before
   */
  boolean advance(long sequence) {
    boolean later = sequence > this.sequence;
    this.sequence = Math.max(sequence, this.sequence);
    return later;
  }

  boolean isUnreachable() {
    return unreachable;
  }

  /**
   * Notes that the member can't be reached from here.
   *
   * @return false if that was known
   */
  boolean lose(long nowNanos) {
    boolean news = !unreachable;
    unreachable = true;
    lostAtNanos = nowNanos;
    return news;
  }

  /**
   * Notes that the member answered a heartbeat.
   *
   * @param sentAtNanos when the heartbeat was sent
   * @return whether that makes the member reachable again
   */
  boolean reach(long sentAtNanos) {
    boolean again = unreachable && sentAtNanos - lostAtNanos > 0;
    unreachable &= !again;
    return again;
  }

  /** Notes that the member itself answered since the last resume. */
  void vouch(long epoch) {
    vouchedIn = epoch;
  }

  boolean isVouchedIn(long epoch) {
    return vouchedIn == epoch;
  }

  RosterEntry toRosterEntry() {
    return new RosterEntry(member, version);
  }
}
