package org.pomelohollow.decision.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.decision.admission.AdmissionController;
import org.pomelohollow.decision.admission.Completion;
import org.pomelohollow.decision.admission.LimitAlgorithm;
import org.pomelohollow.decision.routing.Router;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/** Routing and admission of a daemon, with the simulated target beside it. */
public final class SimulatedDaemon {
  private static final long FAILURE_DETECTION_NANOS = 2_000_000_000L;
  private static final Endpoint ANY_ADDRESS = new Endpoint("127.0.0.1", 1);

  private final LoadSimulation simulation;
  private final MemberId id;
  private final ZoneId zone;
  private final ServiceId service;
  private final int announcedSlots;
  private final SimulatedTarget target;
  private final Supplier<LimitAlgorithm> limitFactory;
  private AdmissionController admission;
  private final Router router;
  private final Map<SimulatedTarget.Job, SimulatedCall> calls = new HashMap<>();
  private int incarnation = 1;
  private boolean announcedCold;
  private boolean hostDown;
  private long hostDownNanos;
  private int startedJobs;

  SimulatedDaemon(
      LoadSimulation simulation,
      String host,
      ZoneId zone,
      ServiceId service,
      int announcedSlots,
      int trueSlots,
      double overloadPenalty,
      Supplier<LimitAlgorithm> limitFactory) {
    this.simulation = simulation;
    this.id = new MemberId(host, 1);
    this.zone = zone;
    this.service = service;
    this.announcedSlots = announcedSlots;
    this.target = new SimulatedTarget(trueSlots, overloadPenalty);
    this.limitFactory = limitFactory;
    this.admission = new AdmissionController(zone, limitFactory.get());
    this.router =
        new Router(
            new SplittableRandom(host.hashCode()),
            simulation.zonePolicyFactory.apply(new SplittableRandom(~host.hashCode())),
            (to, now) -> {});
  }

  public MemberId id() {
    return id;
  }

  public ZoneId zone() {
    return zone;
  }

  public ServiceId service() {
    return service;
  }

  public SimulatedTarget target() {
    return target;
  }

  public AdmissionController admission() {
    return admission;
  }

  public Router router() {
    return router;
  }

  /** Returns the number of jobs started at the target. */
  public int startedJobs() {
    return startedJobs;
  }

  Optional<Member> member() {
    return hostDown && simulation.now() - hostDownNanos > FAILURE_DETECTION_NANOS
        ? Optional.empty()
        : Optional.of(new Member(id, ANY_ADDRESS, zone, admission.targetState(), false));
  }

  void handle(Event e) {
    router.handle(e, simulation.now());
    admission.handle(e, simulation.now());
    if (e instanceof Event.Tick && !hostDown) {
      announce();
    }
  }

  /** Announces the target to its daemon. */
  public void announce() {
    admission.handle(new Event.TargetAnnounced(announcement()), simulation.now());
  }

  /** Passes on the load that the target reports in a response. */
  void reportLoad(LoadReporting reporting) {
    reporting
        .report(target)
        .ifPresent(
            r -> admission.recordTargetReport(announcement().incarnation(), r, simulation.now()));
  }

  private TargetAnnouncement announcement() {
    return new TargetAnnouncement(
        service,
        ANY_ADDRESS,
        "i" + incarnation,
        announcedSlots,
        announcedSlots * 4,
        announcedCold,
        0);
  }

  /** Restarts the target, whose jobs fail. */
  public void restart(boolean announceCold) {
    incarnation++;
    announcedCold = announceCold;
    failJobs();
    announce();
  }

  /** Restarts the daemon beside a target that goes on running; the daemon's jobs are lost. */
  public void restartDaemon() {
    failJobs();
    admission = new AdmissionController(zone, limitFactory.get());
    simulation.publishConfiguration();
    announce();
  }

  /** Ends the cold start of the target, and the announcement of it. */
  public void endColdStart() {
    target.endCold();
    announcedCold = false;
  }

  /** Fails the whole host. */
  public void failHost() {
    hostDown = true;
    hostDownNanos = simulation.now();
    failJobs();
    admission.handle(new Event.TargetLost(service), simulation.now());
  }

  /** Restores the host, with a new incarnation of the target. */
  public void recoverHost() {
    hostDown = false;
    incarnation++;
  }

  boolean isHostDown() {
    return hostDown;
  }

  void startJob(SimulatedCall c, double workNanos) {
    startedJobs++;
    SimulatedTarget.Job[] job = new SimulatedTarget.Job[1];
    job[0] = target.startJob(workNanos, () -> c.ownWorkDone());
    calls.put(job[0], c);
    c.setJob(job[0]);
  }

  void removeJob(SimulatedTarget.Job j) {
    calls.remove(j);
    target.removeJob(j);
  }

  private void failJobs() {
    target.crash().forEach(j -> calls.remove(j).fail(Completion.FAILED));
  }
}
