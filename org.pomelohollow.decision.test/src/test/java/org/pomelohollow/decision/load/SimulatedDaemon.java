package org.pomelohollow.decision.load;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
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

/** A daemon's routing and admission with the target beside it. */
public final class SimulatedDaemon {
  private static final long LIVENESS_NANOS = 2_000_000_000L;
  private static final Endpoint ANYWHERE = new Endpoint("127.0.0.1", 1);

  private final LoadSimulation model;
  private final MemberId id;
  private final ZoneId zone;
  private final ServiceId service;
  private final int announced;
  private final SimulatedTarget target;
  private final AdmissionController admission;
  private final Router router;
  private final Map<SimulatedTarget.Job, SimulatedCall> calls = new HashMap<>();
  private int instance = 1;
  private boolean announcedCold;
  private boolean lost;
  private long lostNanos;
  private int started;

  SimulatedDaemon(
      LoadSimulation model,
      String host,
      ZoneId zone,
      ServiceId service,
      int announced,
      int trueSlots,
      double penalty,
      LimitAlgorithm limit) {
    this.model = model;
    this.id = new MemberId(host, 1);
    this.zone = zone;
    this.service = service;
    this.announced = announced;
    this.target = new SimulatedTarget(trueSlots, penalty);
    this.admission = new AdmissionController(zone, limit);
    this.router = new Router(new SplittableRandom(host.hashCode()));
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

  /** Returns the number of requests that the target was given. */
  public int started() {
    return started;
  }

  Optional<Member> member() {
    return lost && model.now() - lostNanos > LIVENESS_NANOS
        ? Optional.empty()
        : Optional.of(new Member(id, ANYWHERE, zone, admission.targetState(), false));
  }

  void handle(Event e) {
    router.handle(e, model.now());
    admission.handle(e, model.now());
    if (e instanceof Event.Tick && !lost) {
      announce();
    }
  }

  /** Has the target announce itself. */
  public void announce() {
    TargetAnnouncement a =
        new TargetAnnouncement(
            service, ANYWHERE, "i" + instance, announced, announced * 4, announcedCold, 0);
    admission.handle(new Event.TargetAnnounced(a), model.now());
  }

  /** Restarts the target; its jobs break. */
  public void restart(boolean announceCold) {
    instance++;
    announcedCold = announceCold;
    breakJobs();
    announce();
  }

  /** Ends the announced cold start. */
  public void endColdStart() {
    target.endCold();
    announcedCold = false;
  }

  /** Loses the whole host. */
  public void failHost() {
    lost = true;
    lostNanos = model.now();
    breakJobs();
    admission.handle(new Event.TargetLost(service), model.now());
  }

  /** Brings the host back. */
  public void recoverHost() {
    lost = false;
    instance++;
  }

  boolean isHostDown() {
    return lost;
  }

  void run(SimulatedCall c, double workNanos) {
    started++;
    SimulatedTarget.Job[] job = new SimulatedTarget.Job[1];
    job[0] = target.start(workNanos, () -> c.ownWorkDone());
    calls.put(job[0], c);
    c.setJob(job[0]);
  }

  void end(SimulatedTarget.Job j) {
    calls.remove(j);
    target.remove(j);
  }

  private void breakJobs() {
    target.crash().forEach(j -> calls.remove(j).fail(Completion.FAILED));
  }
}
