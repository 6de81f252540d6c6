package org.pomelohollow.decision.admission;

import java.util.Objects;
import org.pomelohollow.model.RequestContext;

/** A request at the admission of a target, from its arrival to its completion. */
public final class Ticket {
  private final RequestContext context;
  private final boolean bulk;
  private final long arrivedNanos;
  private final AdmissionListener listener;
  private State state = State.QUEUED;
  private long startedNanos;

  Ticket(RequestContext context, boolean bulk, long arrivedNanos, AdmissionListener listener) {
    this.context = Objects.requireNonNull(context, "context");
    this.bulk = bulk;
    this.arrivedNanos = arrivedNanos;
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the request. */
  public RequestContext context() {
    return context;
  }

  /** Returns whether the request is a large transfer. */
  public boolean isBulk() {
    return bulk;
  }

  /** Returns when the request arrived, in nanoseconds of the monotonic clock. */
  public long arrivedNanos() {
    return arrivedNanos;
  }

  /** Returns when the request was admitted, in nanoseconds of the monotonic clock. */
  public long startedNanos() {
    return startedNanos;
  }

  /** Returns whether the request is at the target. */
  public boolean isRunning() {
    return state == State.RUNNING;
  }

  /** Returns whether the request still waits. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  AdmissionListener listener() {
    return listener;
  }

  void start(long nowNanos) {
    state = State.RUNNING;
    startedNanos = nowNanos;
  }

  void end() {
    state = State.ENDED;
  }

  private enum State {
    QUEUED,
    RUNNING,
    ENDED
  }
}
