package org.pomelohollow.decision.load;

import java.util.Optional;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.TargetLoad;

/** What targets report of their load in their responses. */
@FunctionalInterface
public interface LoadReporting {
  /** No report. */
  LoadReporting NONE = t -> Optional.empty();

  /** Running and waiting requests and slots. */
  LoadReporting WITHOUT_SLOWDOWN = t -> Optional.of(report(t, TargetLoad.SLOWDOWN_UNKNOWN));

  /** The same and the present slowdown of the host. */
  LoadReporting WITH_SLOWDOWN = t -> Optional.of(report(t, t.slowdown()));

  /** Returns the report of a target in a response, if there is one. */
  Optional<ReportedLoad> report(SimulatedTarget t);

  private static ReportedLoad report(SimulatedTarget t, double slowdown) {
    int running = Math.min(t.inFlight(), t.slots());
    return new ReportedLoad(running, t.inFlight() - running, t.slots(), slowdown);
  }
}
