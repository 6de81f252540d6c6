package org.pomelohollow.decision.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.ThroughputLimit;
import org.pomelohollow.decision.claim.ClaimController;
import org.pomelohollow.decision.claim.ClaimSettings;
import org.pomelohollow.decision.guard.Guard;
import org.pomelohollow.decision.guard.GuardListener;
import org.pomelohollow.decision.guard.GuardedRequest;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.decision.guard.RunningRequests;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.junit.Configurations;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;

/**
 * Simulation, in steps of 10 ms, of three daemons whose targets crash when they run requests with
 * one particular fingerprint.
 */
final class QuarantineSimulation {
  static final long STEP_NANOS = 10_000_000L;
  static final long CRASHING_FINGERPRINT = -1;
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ZoneId ZONE = new ZoneId("a");
  private static final int SLOTS = 20;
  private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);
  private static final int TARGET_COUNT = 3;

  /** Steps that a target needs for a request. */
  private static final int RUN_STEPS = 3;

  /** Steps from a crash of a target until its next incarnation announces itself. */
  private static final int RESTART_STEPS = 300;

  private static final int STEPS_PER_TICK = 5;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();
  long nowNanos = STEP_NANOS;
  long stepCount;
  int crashCount;
  boolean crashing = true;
  private Deque<Runnable> nextStepActions = new ArrayDeque<>();
  private int requestCount;

  QuarantineSimulation(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < TARGET_COUNT; i++) {
      daemons.add(new Daemon(new MemberId("h" + i, 1)));
    }
    daemons.forEach(Daemon::announce);
    updateRosters();
  }

  void step() {
    nowNanos += STEP_NANOS;
    stepCount++;
    Deque<Runnable> due = nextStepActions;
    nextStepActions = new ArrayDeque<>();
    due.forEach(Runnable::run);
    daemons.forEach(Daemon::step);
  }

  Daemon anyDaemon() {
    return daemons.get(random.nextInt(TARGET_COUNT));
  }

  /**
   * Sends a request through a random entry daemon, which makes up to the given number of attempts.
   */
  SimulatedRequest send(long fingerprint, int maxAttempts) {
    SimulatedRequest s = new SimulatedRequest(fingerprint, anyDaemon(), maxAttempts);
    s.attempt();
    return s;
  }

  private void updateRosters() {
    List<Member> m =
        daemons.stream()
            .map(
                d ->
                    new Member(
                        d.id,
                        ADDRESS,
                        ZONE,
                        d.targetUp
                            ? Optional.of(new TargetState(SERVICE, 20, 20, false, false))
                            : Optional.empty(),
                        false))
            .toList();
    daemons.forEach(d -> d.handle(new Event.RosterChanged(Roster.of(d.id, m))));
  }

  /** A request of a caller, with its attempts and its outcome. */
  final class SimulatedRequest {
    final long fingerprint;
    final long startedNanos = nowNanos;
    Optional<Long> endedNanos = Optional.empty();
    Optional<Verdict> verdict = Optional.empty();
    private final Daemon entry;
    private int attemptsLeft;

    SimulatedRequest(long fingerprint, Daemon entry, int attempts) {
      this.fingerprint = fingerprint;
      this.entry = entry;
      this.attemptsLeft = attempts;
    }

    boolean hasEnded() {
      return endedNanos.isPresent();
    }

    boolean hasResponse() {
      return hasEnded() && verdict.isEmpty();
    }

    private void attempt() {
      attemptsLeft--;
      Optional<MemberId> probationMember =
          entry.quarantine.isSuspect(fingerprint, nowNanos)
              ? entry.quarantine.probationMember(fingerprint, SERVICE)
              : Optional.empty();
      List<Daemon> up = daemons.stream().filter(d -> d.targetUp).toList();
      Daemon d =
          probationMember
              .flatMap(id -> daemons.stream().filter(k -> k.id.equals(id)).findFirst())
              .orElseGet(() -> up.isEmpty() ? anyDaemon() : up.get(random.nextInt(up.size())));
      nextStepActions.add(() -> d.receive(this));
    }

    private void handleFailure(Verdict v) {
      boolean retryable =
          v instanceof Verdict.MayHaveRun
              || (v instanceof Verdict.NotRun n && n.code() != ErrorCode.QUARANTINED);
      if (retryable && attemptsLeft > 0) {
        entry.quarantine.markSuspect(fingerprint, nowNanos);
        nextStepActions.add(this::attempt);
      } else {
        verdict = Optional.of(v);
        endedNanos = Optional.of(nowNanos);
      }
    }
  }

  /** A daemon with its target, which restarts a fixed time after a crash. */
  final class Daemon {
    final MemberId id;
    final QuarantineController quarantine;
    boolean targetUp;
    private final AdmissionController admission =
        new AdmissionController(ZONE, new ThroughputLimit());
    private final Guard guard;
    private final List<Running> running = new ArrayList<>();
    private long restartAtStep;
    private int instance;

    Daemon(MemberId id) {
      this.id = id;
      this.quarantine =
          new QuarantineController(id, QuarantineSettings.DEFAULT, random, this::emit);
      ClaimController claims = new ClaimController(id, ClaimSettings.DEFAULT, e -> {});
      guard =
          new Guard(
              new Guard.Dependencies(
                  admission, claims, quarantine, new RunningRequests(), () -> nowNanos));
      handle(new Event.ConfigActivated(Configurations.oneService(SERVICE, ZONE, SLOTS)));
    }

    void handle(Event e) {
      quarantine.handle(e, nowNanos);
      admission.handle(e, nowNanos);
      guard.handle(e, nowNanos);
    }

    private void emit(Effect e) {
      if (e instanceof Effect.Send s) {
        nextStepActions.add(
            () ->
                daemons.stream()
                    .filter(d -> d.id.equals(s.to()))
                    .forEach(d -> d.handle(new Event.MessageReceived(id, s.message()))));
      }
    }

    private void announce() {
      if (!targetUp) {
        targetUp = true;
        instance++;
      }
      String name = "i" + instance;
      handle(
          new Event.TargetAnnounced(
              new TargetAnnouncement(SERVICE, ADDRESS, name, 20, 20, false, 0)));
    }

    private void step() {
      if (!targetUp && stepCount >= restartAtStep) {
        announce();
        updateRosters();
      }
      for (Running r : List.copyOf(running)) {
        if (stepCount >= r.endStep && running.remove(r)) {
          r.request.endedNanos = Optional.of(nowNanos);
          r.call.get().complete(Completion.RESPONDED, Optional.empty(), nowNanos);
        }
      }
      if (stepCount % STEPS_PER_TICK == 0) {
        handle(new Event.Tick());
        if (targetUp) {
          announce();
        }
      }
    }

    private void receive(SimulatedRequest s) {
      if (!targetUp) {
        s.handleFailure(new Verdict.NotRun(ErrorCode.UNREACHABLE));
        return;
      }
      String r = "r" + ++requestCount;
      RequestContext c =
          new RequestContext(
              r,
              r,
              SERVICE,
              "route",
              Optional.empty(),
              Priority.HIGHEST,
              nowNanos + 30_000_000_000L,
              true,
              Optional.empty(),
              s.fingerprint,
              0,
              0);
      CallHolder h = new CallHolder();
      h.call = guard.offer(c, false, listener(s, h), nowNanos);
    }

    private GuardListener listener(SimulatedRequest s, CallHolder h) {
      return new GuardListener() {
        @Override
        public void run() {
          running.add(new Running(s, h, stepCount + RUN_STEPS));
          if (s.fingerprint == CRASHING_FINGERPRINT && crashing) {
            nextStepActions.add(Daemon.this::crashTarget);
          }
        }

        @Override
        public void refused(Verdict v) {
          s.handleFailure(v);
        }

        @Override
        public void replay(RecordedResponse a) {
          throw new IllegalStateException("nothing is recorded");
        }
      };
    }

    /**
     * Crashes the target; its daemon learns of the lost target before or after the broken calls.
     */
    private void crashTarget() {
      if (!targetUp) {
        return;
      }
      targetUp = false;
      crashCount++;
      restartAtStep = stepCount + RESTART_STEPS;
      List<Running> broken = List.copyOf(running);
      running.clear();
      boolean lossReportedFirst = random.nextBoolean();
      if (lossReportedFirst) {
        handle(new Event.TargetLost(SERVICE));
      }
      for (Running r : broken) {
        r.call.get().complete(Completion.FAILED, Optional.empty(), nowNanos);
        r.request.handleFailure(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST));
      }
      updateRosters();
      if (!lossReportedFirst) {
        handle(new Event.TargetLost(SERVICE));
      }
    }
  }

  private static final class CallHolder {
    private GuardedRequest call;

    GuardedRequest get() {
      return call;
    }
  }

  private record Running(SimulatedRequest request, CallHolder call, long endStep) {}
}
