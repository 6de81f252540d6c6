package org.pomelohollow.decision.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;

/** Admits requests to the one target of this daemon. */
public final class AdmissionController implements Controller {
  private static final String PART = "admission";
  private static final int MAX_QUEUED = 256;

  private final Deque<Ticket> queue = new ArrayDeque<>();
  private Optional<TargetAnnouncement> target = Optional.empty();
  private boolean draining;
  private int inFlight;

  /**
   * Offers a request.
   *
   * @param context the request
   * @param bulk whether it is a large transfer
   * @param listener hears the outcome, perhaps before this method returns
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the request's ticket
   */
  public Ticket offer(
      RequestContext context, boolean bulk, AdmissionListener listener, long nowNanos) {
    Ticket t = new Ticket(context, bulk, nowNanos, listener);
    if (target.isEmpty()) {
      refuse(t, ErrorCode.NO_TARGET);
    } else if (draining) {
      refuse(t, ErrorCode.DRAINING);
    } else if (queue.size() >= MAX_QUEUED) {
      refuse(t, ErrorCode.OVERLOADED);
    } else {
      queue.add(t);
      startQueued(nowNanos);
    }
    return t;
  }

  /**
   * Ends a request that was admitted.
   *
   * @param t its ticket
   * @param completion how it ended
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void complete(Ticket t, Completion completion, long nowNanos) {
    if (t.isRunning()) {
      t.end();
      inFlight--;
      startQueued(nowNanos);
    }
  }

  /**
   * Takes a request out because its caller left. Does nothing to a request that runs: that one ends
   * by {@link #complete}.
   *
   * @param t its ticket
   */
  public void cancel(Ticket t) {
    if (t.isQueued()) {
      queue.remove(t);
      t.end();
    }
  }

  /** Returns the load to carry back to entries. */
  public TargetLoad load() {
    return new TargetLoad(limit(), inFlight, queue.size(), Priority.NONE_SHED);
  }

  /** Returns what to tell peers of the target. */
  public Optional<TargetState> targetState() {
    return target.map(t -> new TargetState(t.service(), t.slots(), limit(), t.cold(), draining));
  }

  /** Returns the number of requests at the target. */
  public int inFlight() {
    return inFlight;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.TargetAnnounced a) {
      target = Optional.of(a.announcement());
      draining = false;
      startQueued(nowNanos);
    } else if (event instanceof Event.TargetWithdrawn) {
      draining = true;
    } else if (event instanceof Event.TargetLost) {
      target = Optional.empty();
    } else if (event instanceof Event.Stopping) {
      draining = true;
    } else if (event instanceof Event.Tick) {
      dropExpired(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("target", target)
        .line("draining", draining)
        .line("limit", limit())
        .line("in flight", inFlight)
        .line("queued", queue.size())
        .build();
  }

  private int limit() {
    return target.map(TargetAnnouncement::slots).orElse(0);
  }

  private void startQueued(long nowNanos) {
    while (inFlight < limit() && !queue.isEmpty()) {
      Ticket t = queue.remove();
      if (t.context().remainingNanos(nowNanos) <= 0) {
        refuse(t, ErrorCode.DEADLINE_EXCEEDED);
        continue;
      }
      inFlight++;
      t.start(nowNanos);
      t.listener().admitted();
    }
  }

  private void dropExpired(long nowNanos) {
    queue.removeIf(
        t -> {
          boolean expired = t.context().remainingNanos(nowNanos) <= 0;
          if (expired) {
            refuse(t, ErrorCode.DEADLINE_EXCEEDED);
          }
          return expired;
        });
  }

  private static void refuse(Ticket t, ErrorCode code) {
    t.end();
    t.listener().refused(new Verdict.NotRun(code));
  }
}
