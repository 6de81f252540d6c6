package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/** Both sides of the leases between holders and their witnesses. */
final class HolderLease {
  private final QuotaTerms terms;
  private final EffectSink effects;
  private final Map<MemberId, Witness> witnesses = new HashMap<>();
  private final Map<MemberId, Long> renewalsHeard = new HashMap<>();
  private final Set<MemberId> refused = new HashSet<>();
  private long sequence;

  HolderLease(QuotaTerms terms, EffectSink effects) {
    this.terms = terms;
    this.effects = effects;
  }

  /** Sends renewals that are due to the given witnesses and forgets all others. */
  void renew(Set<MemberId> present, long nowNanos) {
    witnesses.keySet().retainAll(present);
    for (MemberId id : present) {
      Witness w = witnesses.computeIfAbsent(id, k -> new Witness(nowNanos));
      if (w.nextNanos <= nowNanos) {
        w.nextNanos = nowNanos + terms.renewal();
        w.sent.put(++sequence, nowNanos);
        w.sent.values().removeIf(t -> nowNanos - t >= terms.lease());
        effects.emit(new Effect.Send(id, new LeaseRenewal(sequence)));
      }
    }
  }

  /** Tells whether the witness acknowledged a renewal that was sent within the lease. */
  boolean isValid(MemberId witness, long nowNanos) {
    Witness w = witnesses.get(witness);
    return w != null && w.acknowledged && nowNanos - w.leaseNanos < terms.lease();
  }

  /** Tells whether the witness has been silent for too long. */
  boolean isSuspect(MemberId witness, long nowNanos) {
    Witness w = witnesses.get(witness);
    return w != null && nowNanos - w.heardNanos >= terms.suspicion();
  }

  void acknowledged(MemberId from, LeaseAcknowledgement a, long nowNanos) {
    Witness w = witnesses.get(from);
    Long sentNanos = w == null ? null : w.sent.remove(a.sequence());
    if (sentNanos != null) {
      w.leaseNanos = w.acknowledged ? Math.max(w.leaseNanos, sentNanos) : sentNanos;
      w.acknowledged = true;
      w.heardNanos = nowNanos;
    }
  }

  /** Acknowledges a holder's renewal unless this daemon took a piece from it. */
  void renewed(MemberId from, LeaseRenewal r, long nowNanos) {
    if (!refused.contains(from)) {
      renewalsHeard.put(from, nowNanos);
      effects.emit(new Effect.Send(from, new LeaseAcknowledgement(r.sequence())));
    }
  }

  /** Never acknowledges this holder's renewals again. */
  void refuse(MemberId holder) {
    refused.add(holder);
    renewalsHeard.remove(holder);
  }

  /** Tells whether a holder has been silent since the given time and for too long. */
  boolean isSilent(MemberId holder, long sinceNanos, long nowNanos) {
    Long heard = renewalsHeard.get(holder);
    long last = heard == null ? sinceNanos : Math.max(heard, sinceNanos);
    return nowNanos - last >= terms.suspicion();
  }

  /** Starts to wait anew after a pause of this daemon, when all timers are late. */
  void resumeAfterPause(long nowNanos) {
    witnesses.values().forEach(w -> w.heardNanos = nowNanos);
    renewalsHeard.replaceAll((m, t) -> nowNanos);
  }

  private static final class Witness {
    private final Map<Long, Long> sent = new HashMap<>();
    private long nextNanos;
    private long leaseNanos;
    private long heardNanos;
    private boolean acknowledged;

    Witness(long nowNanos) {
      nextNanos = nowNanos;
      heardNanos = nowNanos;
    }
  }
}
