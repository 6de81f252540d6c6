package org.pomelohollow.daemon.protocol;

import org.pomelohollow.decision.TargetAnnouncement;

/** Hears of the target of this host. */
public interface TargetEvents {
  /**
   * The target announced itself.
   *
   * @param a what it said
   */
  void announced(TargetAnnouncement a);

  /** The target withdrew: it gets no new work. */
  void withdrawn();
}
