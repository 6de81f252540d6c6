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
  private int epoch;
  private double charge;
  private int outbound;
  private long outboundSinceNanos;
  private long outboundNanos;

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

  /** Returns the run of the target in which the request started. */
  int epoch() {
    return epoch;
  }

  /** Returns what the account was charged when the request started, in nanoseconds of slot time. */
  double charge() {
    return charge;
  }

  void setCharge(double nanos) {
    charge = nanos;
  }

  void start(int runEpoch, long nowNanos) {
    state = State.RUNNING;
    epoch = runEpoch;
    startedNanos = nowNanos;
  }

  void outboundStarted(long nowNanos) {
    if (outbound++ == 0) {
      outboundSinceNanos = nowNanos;
    }
  }

  void outboundEnded(long nowNanos) {
    if (--outbound == 0) {
      outboundNanos += nowNanos - outboundSinceNanos;
    }
  }

  /** Returns the time at the target without the time in which outbound calls were open. */
  long ownNanos(long nowNanos) {
    long open = outbound > 0 ? nowNanos - outboundSinceNanos : 0;
    return nowNanos - startedNanos - outboundNanos - open;
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
