package org.pomelohollow.decision;

/** Keeps one kind of state up to date. Called from one thread only. */
public interface Controller {
  /**
   * Reacts to an event.
   *
   * @param event the event, not null; kinds that don't concern the controller are ignored
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void handle(Event event, long nowNanos);

  /**
   * Describes the present state for a dump, without secrets.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the state as nested records, lists and plain values
   */
  StateDump dump(long nowNanos);
}
