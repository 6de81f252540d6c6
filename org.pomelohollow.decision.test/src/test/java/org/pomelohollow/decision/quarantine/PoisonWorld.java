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
import org.pomelohollow.decision.guard.GuardedCall;
import org.pomelohollow.decision.guard.RecordedAnswer;
import org.pomelohollow.decision.guard.RunningCalls;
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

/** Three daemons whose targets die of one request, in steps of 10 ms. */
final class PoisonWorld {
  static final long STEP_NANOS = 10_000_000L;
  static final long POISON = -1;
  private static final ServiceId SERVICE = new ServiceId("s");
  private static final ZoneId ZONE = new ZoneId("a");
  private static final int SLOTS = 20;
  private static final Endpoint ADDRESS = new Endpoint("127.0.0.1", 1);
  private static final int TARGETS = 3;
  private static final int RUN_STEPS = 3;
  private static final int RESTART_STEPS = 300;
  private static final int STEPS_PER_TICK = 5;

  final RandomGenerator random;
  final List<Daemon> daemons = new ArrayList<>();
  long now = STEP_NANOS;
  long steps;
  int deaths;
  boolean poisonous = true;
  private Deque<Runnable> arriving = new ArrayDeque<>();
  private int requests;

  PoisonWorld(long seed) {
    random = new SplittableRandom(seed);
    for (int i = 0; i < TARGETS; i++) {
      daemons.add(new Daemon(new MemberId("h" + i, 1)));
    }
    daemons.forEach(Daemon::announce);
    lookAround();
  }

  void step() {
    now += STEP_NANOS;
    steps++;
    Deque<Runnable> due = arriving;
    arriving = new ArrayDeque<>();
    due.forEach(Runnable::run);
    daemons.forEach(Daemon::step);
  }

  Daemon anyDaemon() {
    return daemons.get(random.nextInt(TARGETS));
  }

  /** Sends a request through an entry, which tries once more as the attempts of a call do. */
  Sending send(long fingerprint, int maxAttempts) {
    Sending s = new Sending(fingerprint, anyDaemon(), maxAttempts);
    s.attempt();
    return s;
  }

  private void lookAround() {
    List<Member> m =
        daemons.stream()
            .map(
                d ->
                    new Member(
                        d.id,
                        ADDRESS,
                        ZONE,
                        d.up
                            ? Optional.of(new TargetState(SERVICE, 20, 20, false, false))
                            : Optional.empty(),
                        false))
            .toList();
    daemons.forEach(d -> d.handle(new Event.RosterChanged(Roster.of(d.id, m))));
  }

  /** One request of a caller, with its attempts. */
  final class Sending {
    final long fingerprint;
    final long startedNanos = now;
    Optional<Long> endedNanos = Optional.empty();
    Optional<Verdict> verdict = Optional.empty();
    private final Daemon entry;
    private int attemptsLeft;

    Sending(long fingerprint, Daemon entry, int attempts) {
      this.fingerprint = fingerprint;
      this.entry = entry;
      this.attemptsLeft = attempts;
    }

    boolean isOver() {
      return endedNanos.isPresent();
    }

    boolean isAnswered() {
      return isOver() && verdict.isEmpty();
    }

    private void attempt() {
      attemptsLeft--;
      Optional<MemberId> only =
          entry.quarantine.isSuspect(fingerprint, now)
              ? entry.quarantine.probationMember(fingerprint, SERVICE)
              : Optional.empty();
      List<Daemon> up = daemons.stream().filter(d -> d.up).toList();
      Daemon d =
          only.flatMap(id -> daemons.stream().filter(k -> k.id.equals(id)).findFirst())
              .orElseGet(() -> up.isEmpty() ? anyDaemon() : up.get(random.nextInt(up.size())));
      arriving.add(() -> d.take(this));
    }

    private void failed(Verdict v) {
      boolean elsewhere =
          v instanceof Verdict.MayHaveRun
              || (v instanceof Verdict.NotRun n && n.code() != ErrorCode.QUARANTINED);
      if (elsewhere && attemptsLeft > 0) {
        entry.quarantine.markSuspect(fingerprint, now);
        arriving.add(this::attempt);
      } else {
        verdict = Optional.of(v);
        endedNanos = Optional.of(now);
      }
    }
  }

  /** A daemon and its target. */
  final class Daemon {
    final MemberId id;
    final QuarantineController quarantine;
    boolean up;
    private final AdmissionController admission =
        new AdmissionController(ZONE, new ThroughputLimit());
    private final Guard guard;
    private final List<Running> running = new ArrayList<>();
    private long upAtStep;
    private int instance;

    Daemon(MemberId id) {
      this.id = id;
      this.quarantine =
          new QuarantineController(id, QuarantineSettings.DEFAULT, random, this::emit);
      ClaimController claims = new ClaimController(id, ClaimSettings.DEFAULT, e -> {});
      guard =
          new Guard(new Guard.Parts(admission, claims, quarantine, new RunningCalls(), () -> now));
      handle(new Event.ConfigInForce(Configurations.oneService(SERVICE, ZONE, SLOTS)));
    }

    void handle(Event e) {
      quarantine.handle(e, now);
      admission.handle(e, now);
      guard.handle(e, now);
    }

    private void emit(Effect e) {
      if (e instanceof Effect.Send s) {
        arriving.add(
            () ->
                daemons.stream()
                    .filter(d -> d.id.equals(s.to()))
                    .forEach(d -> d.handle(new Event.MessageReceived(id, s.message()))));
      }
    }

    private void announce() {
      if (!up) {
        up = true;
        instance++;
      }
      String name = "i" + instance;
      handle(
          new Event.TargetAnnounced(
              new TargetAnnouncement(SERVICE, ADDRESS, name, 20, 20, false, 0)));
    }

    private void step() {
      if (!up && steps >= upAtStep) {
        announce();
        lookAround();
      }
      for (Running r : List.copyOf(running)) {
        if (steps >= r.endStep && running.remove(r)) {
          r.sending.endedNanos = Optional.of(now);
          r.call.get().completed(Completion.ANSWERED, Optional.empty(), now);
        }
      }
      if (steps % STEPS_PER_TICK == 0) {
        handle(new Event.Tick());
        if (up) {
          announce();
        }
      }
    }

    private void take(Sending s) {
      if (!up) {
        s.failed(new Verdict.NotRun(ErrorCode.UNREACHABLE));
        return;
      }
      String r = "r" + ++requests;
      RequestContext c =
          new RequestContext(
              r,
              r,
              SERVICE,
              "route",
              Optional.empty(),
              Priority.HIGHEST,
              now + 30_000_000_000L,
              true,
              Optional.empty(),
              s.fingerprint,
              0,
              0);
      CallHolder h = new CallHolder();
      h.call = guard.offer(c, false, listener(s, h), now);
    }

    private GuardListener listener(Sending s, CallHolder h) {
      return new GuardListener() {
        @Override
        public void run() {
          running.add(new Running(s, h, steps + RUN_STEPS));
          if (s.fingerprint == POISON && poisonous) {
            arriving.add(Daemon.this::die);
          }
        }

        @Override
        public void refused(Verdict v) {
          s.failed(v);
        }

        @Override
        public void replay(RecordedAnswer a) {
          throw new IllegalStateException("nothing is recorded");
        }
      };
    }

    private void die() {
      if (!up) {
        return;
      }
      up = false;
      deaths++;
      upAtStep = steps + RESTART_STEPS;
      List<Running> broken = List.copyOf(running);
      running.clear();
      boolean toldFirst = random.nextBoolean();
      if (toldFirst) {
        handle(new Event.TargetLost(SERVICE));
      }
      for (Running r : broken) {
        r.call.get().completed(Completion.FAILED, Optional.empty(), now);
        r.sending.failed(new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST));
      }
      lookAround();
      if (!toldFirst) {
        handle(new Event.TargetLost(SERVICE));
      }
    }
  }

  private static final class CallHolder {
    private GuardedCall call;

    GuardedCall get() {
      return call;
    }
  }

  private record Running(Sending sending, CallHolder call, long endStep) {}
}
