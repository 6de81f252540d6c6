package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.MemberId;

/**
 * Leases between holders of pieces and their witnesses. As a holder, this daemon sends renewals to
 * its witnesses; as a witness, it acknowledges the renewals of other holders. One lease covers all
 * pieces that a holder has with the same witness.
 */
final class WitnessLeases {
  private final QuotaSettings settings;
  private final EffectSink effects;
  private final Map<MemberId, Lease> leases = new HashMap<>();
  private final Map<MemberId, Long> lastRenewalNanos = new HashMap<>();
  private final Set<MemberId> deniedHolders = new HashSet<>();
  private long sequence;

  WitnessLeases(QuotaSettings settings, EffectSink effects) {
    this.settings = settings;
    this.effects = effects;
  }

  /**
   * Sends the renewals that are due, and drops the leases with all other witnesses.
   *
   * @param currentWitnesses witnesses of the pieces that this daemon holds
   */
  void sendRenewals(Set<MemberId> currentWitnesses, long nowNanos) {
    leases.keySet().retainAll(currentWitnesses);
    for (MemberId id : currentWitnesses) {
      Lease lease = leases.computeIfAbsent(id, k -> new Lease(nowNanos));
      if (lease.nextRenewalNanos <= nowNanos) {
        lease.nextRenewalNanos = nowNanos + settings.renewalIntervalNanos();
        lease.sentNanosBySequence.put(++sequence, nowNanos);
        lease.sentNanosBySequence.values().removeIf(t -> nowNanos - t >= settings.leaseNanos());
        effects.emit(new Effect.Send(id, new LeaseRenewal(sequence)));
      }
    }
  }

  /**
   * Returns whether this daemon has a valid lease from a witness: it sent a renewal less than a
   * lease ago that the witness has acknowledged.
   */
  boolean isValid(MemberId witness, long nowNanos) {
    Lease lease = leases.get(witness);
    return lease != null
        && lease.acknowledged
        && nowNanos - lease.startNanos < settings.leaseNanos();
  }

  /** Returns whether a witness has acknowledged nothing for the suspicion timeout. */
  boolean isWitnessSilent(MemberId witness, long nowNanos) {
    Lease lease = leases.get(witness);
    return lease != null
        && nowNanos - lease.lastAcknowledgedNanos >= settings.suspicionTimeoutNanos();
  }

  /**
   * Extends the lease from the witness. The lease counts from when the renewal was sent; unknown,
   * repeated and outdated acknowledgements have no effect.
   */
  void handleAcknowledgement(MemberId witness, LeaseAcknowledgement a, long nowNanos) {
    Lease lease = leases.get(witness);
    Long sentNanos = lease == null ? null : lease.sentNanosBySequence.remove(a.sequence());
    if (sentNanos != null) {
      lease.startNanos = lease.acknowledged ? Math.max(lease.startNanos, sentNanos) : sentNanos;
      lease.acknowledged = true;
      lease.lastAcknowledgedNanos = nowNanos;
    }
  }

  /** Acknowledges a holder's renewal unless this daemon has claimed a piece of that holder. */
  void handleRenewal(MemberId holder, LeaseRenewal r, long nowNanos) {
    if (!deniedHolders.contains(holder)) {
      lastRenewalNanos.put(holder, nowNanos);
      effects.emit(new Effect.Send(holder, new LeaseAcknowledgement(r.sequence())));
    }
  }

  /**
   * Never acknowledges a renewal of this holder again, so that its lease ends. Must be called
   * before this daemon sends a claim of the holder's piece.
   */
  void denyRenewals(MemberId holder) {
    deniedHolders.add(holder);
    lastRenewalNanos.remove(holder);
  }

  /**
   * Returns whether no renewal of a holder was acknowledged for the suspicion timeout.
   *
   * @param sinceNanos earliest start of the silence: when this daemon began to watch the holder
   */
  boolean isHolderSilent(MemberId holder, long sinceNanos, long nowNanos) {
    Long renewedNanos = lastRenewalNanos.get(holder);
    long lastNanos = renewedNanos == null ? sinceNanos : Math.max(renewedNanos, sinceNanos);
    return nowNanos - lastNanos >= settings.suspicionTimeoutNanos();
  }

  /**
   * Counts all silences from now on. Called after a pause of this daemon, during which it couldn't
   * receive the messages of others.
   */
  void restartSilence(long nowNanos) {
    leases.values().forEach(w -> w.lastAcknowledgedNanos = nowNanos);
    lastRenewalNanos.replaceAll((m, t) -> nowNanos);
  }

  /** Lease of this daemon from one witness, invalid until a renewal was acknowledged. */
  private static final class Lease {
    private final Map<Long, Long> sentNanosBySequence = new HashMap<>();
    private long nextRenewalNanos;
    private long startNanos;
    private long lastAcknowledgedNanos;
    private boolean acknowledged;

    Lease(long nowNanos) {
      nextRenewalNanos = nowNanos;
      lastAcknowledgedNanos = nowNanos;
    }
  }
}
