package org.pomelohollow.decision;

/** Maintains one part of a daemon's state in response to events. Confined to one thread. */
public interface Controller {
  /**
   * Updates the state in response to an event.
   *
   * @param event the event, not null; events that are irrelevant to the controller are ignored
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void handle(Event event, long nowNanos);

  /**
   * Returns a readable snapshot of the current state, without secrets.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the state as named values in text form
   */
  StateDump dump(long nowNanos);
}
