package org.pomelohollow.junit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
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

/**
 * Daemon of a {@link MembershipSimulation}: its controllers of membership and of the configuration,
 * which can be paused or crashed.
 */
public final class SimulatedMember {
  private final int number;
  private final Member self;
  private final ConfigController config;
  private final MembershipController controller;
  private final PauseDetector pauseDetector = new PauseDetector();
  private final Deque<Event> deferred = new ArrayDeque<>();
  private final List<String> warnings = new ArrayList<>();
  private boolean running = true;
  private boolean paused;
  private long pausedUntilNanos;
  private long nextOffset;
  private long rosterChanges;
  private long lastNanos;

  SimulatedMember(MembershipSimulation simulation, int number, Member self, long seed) {
    this.number = number;
    this.self = self;
    this.lastNanos = simulation.nowNanos();
    this.config =
        new ConfigController(e -> executeOfConfig(simulation, e), SimulatedDocuments::readDocument);
    this.controller =
        new MembershipController(
            self, simulation.seeds(), config, new Random(seed), e -> execute(simulation, e));
    controller.setTarget(simulation.initialTarget(number), simulation.nowNanos());
  }

  /** Returns the identity of this incarnation. */
  public MemberId id() {
    return self.id();
  }

  /** Returns the membership controller. */
  public MembershipController controller() {
    return controller;
  }

  /** Returns the configuration controller. */
  public ConfigController config() {
    return config;
  }

  /** Returns the current roster of the daemon. */
  public Roster roster() {
    return controller.roster();
  }

  /** Returns the warnings that the daemon has logged. */
  public List<String> warnings() {
    return List.copyOf(warnings);
  }

  /** Returns the number of times that the roster has changed. */
  public long rosterChanges() {
    return rosterChanges;
  }

  /** Returns whether the daemon has not crashed; a paused daemon counts as running. */
  public boolean isRunning() {
    return running;
  }

  /** Returns whether the daemon was paused and has handled no event since. */
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

  /**
   * Delivers an event to a running daemon. During a pause, events other than ticks are deferred;
   * they are handled before the first event after the pause.
   */
  void deliver(Event e, long nowNanos) {
    if (!running) {
      return;
    }
    if (paused && nowNanos < pausedUntilNanos) {
      if (!(e instanceof Event.Tick)) {
        deferred.add(e);
      }
      return;
    }
    paused = false;
    while (!deferred.isEmpty()) {
      handle(deferred.remove(), nowNanos);
    }
    handle(e, nowNanos);
  }

  /** Handles an event, after reporting a gap in time that the pause detector finds. */
  void handle(Event e, long nowNanos) {
    pauseDetector
        .check(nowNanos, TimeUnit.NANOSECONDS.toMillis(nowNanos))
        .ifPresent(gap -> controller.handle(new Event.ProcessResumed(gap), nowNanos));
    config.handle(e, nowNanos);
    controller.handle(e, nowNanos);
    lastNanos = nowNanos;
  }

  /** Executes effects of the configuration; without documents there is nothing to exchange. */
  private void executeOfConfig(MembershipSimulation simulation, Effect e) {
    if (simulation.hasDocument()) {
      simulation.execute(this, e);
    }
  }

  private void execute(MembershipSimulation simulation, Effect e) {
    if (e instanceof Effect.RaiseEvent r && r.event() instanceof Event.RosterChanged) {
      rosterChanges++;
      config.handle(r.event(), lastNanos);
    } else if (e instanceof Effect.LogLine n && n.warning()) {
      warnings.add(n.message());
    } else {
      simulation.execute(this, e);
    }
  }
}
