package org.pomelohollow.daemon.internal.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A connection that is being established, and the listeners that wait for it. */
final class PendingConnection {
  private static final int MAX_LISTENERS = 1_024;

  private final List<Listener> listeners = new ArrayList<>();
  private boolean completed;

  PendingConnection(Listener first) {
    listeners.add(first);
  }

  /** Adds a listener; it is notified at once, without a link, if it can't wait here. */
  void add(Listener l) {
    if (completed || listeners.size() >= MAX_LISTENERS) {
      l.connected(Optional.empty());
    } else {
      listeners.add(l);
    }
  }

  /**
   * Notifies all listeners. Only the first invocation has an effect.
   *
   * @param link the established link, empty if connecting failed
   */
  void complete(Optional<Link> link) {
    if (completed) {
      return;
    }
    completed = true;
    List.copyOf(listeners).forEach(l -> l.connected(link));
    listeners.clear();
  }

  /** Waits for a connection to be established. */
  @FunctionalInterface
  interface Listener {
    /** Notifies that the link is up, or, if {@code link} is empty, that connecting failed. */
    void connected(Optional<Link> link);
  }
}
