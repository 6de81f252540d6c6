package org.pomelohollow.daemon.protocol;

import org.pomelohollow.decision.TargetAnnouncement;

/** Listener for announcements and withdrawals of the target on this host. */
public interface TargetEvents {
  /**
   * Called for each announcement of the target.
   *
   * @param a the announcement
   */
  void announced(TargetAnnouncement a);

  /** Called when the target has withdrawn; it gets no new requests. */
  void withdrawn();
}
