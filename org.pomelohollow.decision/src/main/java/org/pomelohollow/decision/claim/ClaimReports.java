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

/** Tells witnesses how claims ended, again until they have confirmed it. */
final class ClaimReports {
  private static final long FIRST_REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final int MAX_SENDINGS = 8;

  private final EffectSink effects;
  private final Map<ClaimId, Outgoing> outgoing = new HashMap<>();

  ClaimReports(EffectSink effects) {
    this.effects = effects;
  }

  int waiting() {
    return outgoing.size();
  }

  void send(ClaimReport r, Set<MemberId> to, long nowNanos) {
    if (to.isEmpty()) {
      return;
    }
    Outgoing o = new Outgoing(r, new HashSet<>(to));
    outgoing.put(r.id(), o);
    o.send(effects, nowNanos);
  }

  void confirmed(MemberId from, ClaimReportAck a) {
    Outgoing o = outgoing.get(a.id());
    if (o != null && o.to.remove(from) && o.to.isEmpty()) {
      outgoing.remove(a.id());
    }
  }

  void tick(long nowNanos) {
    List<ClaimId> over = new ArrayList<>();
    outgoing.forEach(
        (id, o) -> {
          if (nowNanos < o.nextNanos) {
            return;
          }
          if (o.sendings == MAX_SENDINGS) {
            over.add(id);
          } else {
            o.send(effects, nowNanos);
          }
        });
    over.forEach(outgoing::remove);
  }

  private static final class Outgoing {
    private final ClaimReport report;
    private final Set<MemberId> to;
    private int sendings;
    private long nextNanos;

    Outgoing(ClaimReport report, Set<MemberId> to) {
      this.report = report;
      this.to = to;
    }

    void send(EffectSink effects, long nowNanos) {
      nextNanos = nowNanos + (FIRST_REPEAT_NANOS << sendings);
      sendings++;
      to.forEach(w -> effects.emit(new Effect.Send(w, report)));
    }
  }
}
