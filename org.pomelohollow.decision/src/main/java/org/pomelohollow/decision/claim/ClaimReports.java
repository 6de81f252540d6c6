package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/**
 * Sends reports of how claimed requests ended to their witnesses, and resends each with exponential
 * backoff until all witnesses have acknowledged it or the attempts are used up.
 */
final class ClaimReports {
  private static final long FIRST_RESEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_ATTEMPTS = 8;

  private final EffectSink effects;
  private final Map<ClaimId, OutgoingReport> outgoing = new HashMap<>();

  ClaimReports(EffectSink effects) {
    this.effects = effects;
  }

  /** Returns the number of reports that some witness has not acknowledged yet. */
  int unacknowledgedReports() {
    return outgoing.size();
  }

  void send(ClaimReport r, Set<MemberId> witnesses, long nowNanos) {
    if (witnesses.isEmpty()) {
      return;
    }
    OutgoingReport o = new OutgoingReport(r, new HashSet<>(witnesses));
    outgoing.put(r.id(), o);
    o.send(effects, nowNanos);
  }

  void handleAck(MemberId from, ClaimReportAck ack) {
    OutgoingReport o = outgoing.get(ack.id());
    if (o != null && o.unacknowledged.remove(from) && o.unacknowledged.isEmpty()) {
      outgoing.remove(ack.id());
    }
  }

  void tick(long nowNanos) {
    List<ClaimId> exhausted = new ArrayList<>();
    outgoing.forEach(
        (id, o) -> {
          if (nowNanos < o.nextAttemptNanos) {
            return;
          }
          if (o.attempts == MAX_ATTEMPTS) {
            exhausted.add(id);
          } else {
            o.send(effects, nowNanos);
          }
        });
    exhausted.forEach(outgoing::remove);
  }

  private static final class OutgoingReport {
    private final ClaimReport report;
    private final Set<MemberId> unacknowledged;
    private int attempts;
    private long nextAttemptNanos;

    OutgoingReport(ClaimReport report, Set<MemberId> unacknowledged) {
      this.report = report;
      this.unacknowledged = unacknowledged;
    }

    void send(EffectSink effects, long nowNanos) {
      nextAttemptNanos = nowNanos + (FIRST_RESEND_DELAY_NANOS << attempts);
      attempts++;
      unacknowledged.forEach(w -> effects.emit(new Effect.Send(w, report)));
    }
  }
}
