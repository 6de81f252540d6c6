package org.pomelohollow.decision;

import java.util.Objects;
import java.util.TreeMap;

/** One-shot timers. An action runs at the first tick at or after its time. */
public final class Timers implements Controller {
  private static final String PART = "timers";

  private final TreeMap<Key, Runnable> pending = new TreeMap<>();
  private long sequence;

  /**
   * Schedules an action.
   *
   * @param atNanos earliest time, in nanoseconds of the monotonic clock
   * @param action the action
   * @return cancels the action when run; has no effect once the action has run
   */
  public Runnable schedule(long atNanos, Runnable action) {
    Key k = new Key(atNanos, sequence++);
    pending.put(k, Objects.requireNonNull(action, "action"));
    return () -> pending.remove(k);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (!(event instanceof Event.Tick)) {
      return;
    }
    while (!pending.isEmpty() && pending.firstKey().atNanos <= nowNanos) {
      pending.pollFirstEntry().getValue().run();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART).line("waiting", pending.size()).build();
  }

  private record Key(long atNanos, long sequence) implements Comparable<Key> {
    @Override
    public int compareTo(Key o) {
      int c = Long.compare(atNanos, o.atNanos);
      return c != 0 ? c : Long.compare(sequence, o.sequence);
    }
  }
}
