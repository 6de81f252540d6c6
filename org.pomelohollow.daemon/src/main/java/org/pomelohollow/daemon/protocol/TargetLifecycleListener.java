package org.pomelohollow.daemon.protocol;

import org.pomelohollow.decision.TargetAnnouncement;

/** Listener for announcements and withdrawals of the target on this host. */
public interface TargetLifecycleListener {
  /**
   * Called for each announcement of the target.
   *
   * @param a the announcement
   */
  void targetAnnounced(TargetAnnouncement a);

  /** Called when the target has withdrawn; it gets no new requests. */
  void targetWithdrawn();
}
