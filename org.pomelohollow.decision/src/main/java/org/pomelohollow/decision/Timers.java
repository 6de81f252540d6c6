package org.pomelohollow.decision;

import java.util.Objects;
import java.util.TreeMap;

/** Actions that wait for a time, run at the first tick after it. */
public final class Timers implements Controller {
  private static final String PART = "timers";

  private final TreeMap<Key, Runnable> waiting = new TreeMap<>();
  private long sequence;

  /**
   * Runs an action later.
   *
   * @param atNanos earliest time, in nanoseconds of the monotonic clock
   * @param action what to run
   * @return cancels the action when run; does nothing once it has run
   */
  public Runnable at(long atNanos, Runnable action) {
    Key k = new Key(atNanos, sequence++);
    waiting.put(k, Objects.requireNonNull(action, "action"));
    return () -> waiting.remove(k);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (!(event instanceof Event.Tick)) {
      return;
    }
    while (!waiting.isEmpty() && waiting.firstKey().atNanos <= nowNanos) {
      waiting.pollFirstEntry().getValue().run();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART).line("waiting", waiting.size()).build();
  }

  private record Key(long atNanos, long sequence) implements Comparable<Key> {
    @Override
    public int compareTo(Key o) {
      int c = Long.compare(atNanos, o.atNanos);
      return c != 0 ? c : Long.compare(sequence, o.sequence);
    }
  }
}
