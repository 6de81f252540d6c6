package org.pomelohollow.daemon.internal.call;

import java.util.Optional;

/** Notified of attempts that end at the target's daemon because their entry daemon gave them up. */
@FunctionalInterface
public interface CancellationObserver {
  /**
   * Notifies that an attempt was cancelled.
   *
   * @param requestId identifier of the request
   * @param sentNanos monotonic time at which it was sent to the target, in nanoseconds; empty if it
   *     was not
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void cancelled(String requestId, Optional<Long> sentNanos, long nowNanos);
}
