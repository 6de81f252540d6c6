package org.pomelohollow.decision.admission;

import java.util.Objects;
import org.pomelohollow.model.RequestContext;

/** State of a request at the daemon of its target, from its arrival to its completion. */
public final class Ticket {
  private final RequestContext context;
  private final boolean bulk;
  private final long arrivedNanos;
  private final AdmissionListener listener;
  private State state = State.QUEUED;
  private long startedNanos;
  private int targetEpoch;
  private double chargedNanos;
  private int openOutboundCalls;
  private long outboundStartNanos;
  private long endedOutboundNanos;

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

  /** Returns whether the request is a bulk request (a large transfer). */
  public boolean isBulk() {
    return bulk;
  }

  /**
   * Returns whether a caller sent the request with its key. Calls of running requests have their
   * parent's account, so the account alone does not tell.
   */
  boolean isCallersRequest() {
    return context.isRoot() && context.account().isPresent();
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

  /** Returns whether the request is still queued. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  AdmissionListener listener() {
    return listener;
  }

  /** Returns the epoch of the target's cold starts in which the request started. */
  int targetEpoch() {
    return targetEpoch;
  }

  /**
   * Returns the slot time that the account was charged when the request started, in nanoseconds.
   */
  double chargedNanos() {
    return chargedNanos;
  }

  void setChargedNanos(double nanos) {
    chargedNanos = nanos;
  }

  void admit(int epoch, long nowNanos) {
    state = State.RUNNING;
    targetEpoch = epoch;
    startedNanos = nowNanos;
  }

  void startOutboundCall(long nowNanos) {
    if (openOutboundCalls++ == 0) {
      outboundStartNanos = nowNanos;
    }
  }

  void endOutboundCall(long nowNanos) {
    if (--openOutboundCalls == 0) {
      endedOutboundNanos += nowNanos - outboundStartNanos;
    }
  }

  /**
   * Returns the self time of the request: its time at the target without the time during which its
   * outbound calls were open.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time in nanoseconds
   */
  public long selfTimeNanos(long nowNanos) {
    long openNanos = openOutboundCalls > 0 ? nowNanos - outboundStartNanos : 0;
    return nowNanos - startedNanos - endedOutboundNanos - openNanos;
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
