package org.pomelohollow.junit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.PauseDetector;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.decision.membership.MembershipController;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.TargetState;

/** One daemon of a {@link MemberFleet}: a membership controller that may be paused or crash. */
public final class MemberDaemon {
  private final int number;
  private final Member self;
  private final MembershipController controller;
  private final PauseDetector pauses = new PauseDetector();
  private final Deque<Event> waiting = new ArrayDeque<>();
  private final List<String> notes = new ArrayList<>();
  private boolean running = true;
  private boolean paused;
  private long pausedUntilNanos;
  private long nextOffset;
  private long rosterChanges;

  MemberDaemon(MemberFleet fleet, int number, Member self, long seed) {
    this.number = number;
    this.self = self;
    this.controller =
        new MembershipController(
            self,
            fleet.seeds(),
            new ConfigController(e -> {}),
            new Random(seed),
            e -> carryOut(fleet, e));
    controller.setTarget(fleet.initialTarget(number), fleet.nowNanos());
  }

  /** Returns the identity of this run. */
  public MemberId id() {
    return self.id();
  }

  /** Returns the controller. */
  public MembershipController controller() {
    return controller;
  }

  /** Returns the daemon's present roster. */
  public Roster roster() {
    return controller.roster();
  }

  /** Returns the warnings that the daemon wrote to its log. */
  public List<String> notes() {
    return List.copyOf(notes);
  }

  /** Returns how often the roster changed. */
  public long rosterChanges() {
    return rosterChanges;
  }

  /** Returns whether the daemon has not crashed. */
  public boolean isRunning() {
    return running;
  }

  /** Tells whether the daemon has handled nothing since it was paused. */
  boolean isPaused() {
    return paused;
  }

  int number() {
    return number;
  }

  Endpoint peer() {
    return self.peer();
  }

  long nextOffset() {
    return nextOffset;
  }

  void setNextOffset(long offset) {
    nextOffset = offset;
  }

  void crash() {
    running = false;
  }

  void pauseUntil(long nanos) {
    paused = true;
    pausedUntilNanos = nanos;
  }

  void setTarget(Optional<TargetState> state, long nowNanos) {
    controller.setTarget(state, nowNanos);
  }

  /** Hands an event over, or keeps it until the pause ends. */
  void deliver(Event e, long nowNanos) {
    if (!running) {
      return;
    }
    if (paused && nowNanos < pausedUntilNanos) {
      if (!(e instanceof Event.Tick)) {
        waiting.add(e);
      }
      return;
    }
    paused = false;
    while (!waiting.isEmpty()) {
      handle(waiting.remove(), nowNanos);
    }
    handle(e, nowNanos);
  }

  void handle(Event e, long nowNanos) {
    pauses
        .check(nowNanos)
        .ifPresent(gap -> controller.handle(new Event.ProcessResumed(gap), nowNanos));
    controller.handle(e, nowNanos);
  }

  private void carryOut(MemberFleet fleet, Effect e) {
    if (e instanceof Effect.RaiseEvent r && r.event() instanceof Event.RosterChanged) {
      rosterChanges++;
    } else if (e instanceof Effect.LogLine n && n.warning()) {
      notes.add(n.message());
    } else {
      fleet.carryOut(this, e);
    }
  }
}
