package org.pomelohollow.daemon.internal.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An attempt to connect, and those that wait for it. */
final class Dial {
  private static final int MAX_WAITING = 1_024;

  private final List<Listener> waiting = new ArrayList<>();
  private boolean settled;

  Dial(Listener first) {
    waiting.add(first);
  }

  void add(Listener l) {
    if (settled || waiting.size() >= MAX_WAITING) {
      l.connected(Optional.empty());
    } else {
      waiting.add(l);
    }
  }

  void settle(Optional<Link> link) {
    if (settled) {
      return;
    }
    settled = true;
    List.copyOf(waiting).forEach(l -> l.connected(link));
    waiting.clear();
  }

  /** Waits for a connection. */
  @FunctionalInterface
  interface Listener {
    /** The link is up; empty if there is none. */
    void connected(Optional<Link> link);
  }
}
