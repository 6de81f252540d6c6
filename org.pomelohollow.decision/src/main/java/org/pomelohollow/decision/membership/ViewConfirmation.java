package org.pomelohollow.decision.membership;

/**
 * Tracks whether this daemon's view of the fleet is confirmed. After a start, a pause of the
 * process or isolation from all neighbours the view may be out of date. It stays unconfirmed until
 * a peer's roster has turned out to be equal or has replaced it.
 */
final class ViewConfirmation {
  /** Time after which acknowledgements alone confirm the view. */
  private static final long MAX_UNCONFIRMED_NANOS = 2_000_000_000L;

  private static final long PROBE_INTERVAL_NANOS = 200_000_000L;

  private boolean confirmed;
  private boolean ackReceived;
  private long epoch;
  private long firstSequence;
  private long unconfirmedSinceNanos;
  private long nextProbeNanos;

  /** Returns whether the view is confirmed. */
  boolean isConfirmed() {
    return confirmed;
  }

  /** Returns the view's epoch, a number that rises whenever the view becomes unconfirmed. */
  long epoch() {
    return epoch;
  }

  /**
   * Marks the view as unconfirmed and starts a new epoch.
   *
   * @param firstSequence sequence number of this daemon's next heartbeat; an acknowledgement of it
   *     or of a later one was sent in the new epoch
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void invalidate(long firstSequence, long nowNanos) {
    confirmed = false;
    ackReceived = false;
    epoch++;
    this.firstSequence = firstSequence;
    unconfirmedSinceNanos = nowNanos;
    nextProbeNanos = nowNanos;
  }

  /** Marks the view as confirmed. */
  void confirm() {
    confirmed = true;
  }

  /**
   * Records that a peer has acknowledged a heartbeat.
   *
   * @param sequence sequence number of the heartbeat
   * @return whether the heartbeat was sent in the present epoch
   */
  boolean recordAck(long sequence) {
    boolean inEpoch = sequence >= firstSequence;
    ackReceived |= inEpoch;
    return inEpoch;
  }

  /**
   * Checks the timeouts. Confirms the view without a peer's roster if a heartbeat of this epoch was
   * acknowledged and no peer has a confirmed view to compare with for a while, as when a whole
   * fleet starts.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether a round of probes is due
   */
  boolean tick(long nowNanos) {
    if (confirmed) {
      return false;
    }
    if (ackReceived && nowNanos - unconfirmedSinceNanos >= MAX_UNCONFIRMED_NANOS) {
      confirmed = true;
      return false;
    }
    boolean due = nowNanos - nextProbeNanos >= 0;
    if (due) {
      nextProbeNanos = nowNanos + PROBE_INTERVAL_NANOS;
    }
    return due;
  }
}
