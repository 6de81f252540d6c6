package org.pomelohollow.decision.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;

/** A claim that its executor collects grants for. */
final class PendingClaim {
  private final ClaimKey key;
  private final RequestContext context;
  private final ClaimId id;
  private final long startedNanos;
  private final Consumer<ClaimAnswer> listener;
  private final Set<MemberId> asked = new HashSet<>();
  private final Set<MemberId> granted = new HashSet<>();
  private final Map<MemberId, ClaimReply.Decision> refusals = new HashMap<>();
  private Seats seats = Seats.NONE;
  private Optional<ClaimRecord> taken = Optional.empty();
  private boolean yields;
  private long sentNanos;

  PendingClaim(
      ClaimKey key,
      RequestContext context,
      ClaimId id,
      long startedNanos,
      Consumer<ClaimAnswer> listener) {
    this.key = key;
    this.context = context;
    this.id = id;
    this.startedNanos = startedNanos;
    this.listener = listener;
  }

  ClaimKey key() {
    return key;
  }

  RequestContext context() {
    return context;
  }

  ClaimId id() {
    return id;
  }

  long startedNanos() {
    return startedNanos;
  }

  Consumer<ClaimAnswer> listener() {
    return listener;
  }

  /** Returns every member that may have recorded the claim. */
  Set<MemberId> asked() {
    return asked;
  }

  Seats seats() {
    return seats;
  }

  long sentNanos() {
    return sentNanos;
  }

  Optional<ClaimRecord> taken() {
    return taken;
  }

  /** Starts to collect anew, among the witnesses of another epoch. */
  void restart(Seats s) {
    seats = s;
    granted.clear();
    forgetRefusals();
  }

  /** Forgets refusals, which may have changed meanwhile; grants last. */
  void retry() {
    forgetRefusals();
  }

  private void forgetRefusals() {
    refusals.clear();
    taken = Optional.empty();
    yields = false;
  }

  ClaimRequest request() {
    return new ClaimRequest(seats.epoch(), key, context.fingerprint(), context.requestId(), id);
  }

  /** Notes a sending to the witnesses that have not granted yet, and returns them. */
  Set<MemberId> startRound(long nowNanos) {
    sentNanos = nowNanos;
    Set<MemberId> to = new HashSet<>(seats.witnesses());
    to.removeAll(granted);
    asked.addAll(to);
    return to;
  }

  void took(MemberId from, ClaimReply r) {
    if (r.epoch() != seats.epoch() || !seats.witnesses().contains(from)) {
      return;
    }
    if (r.decision() == ClaimReply.Decision.GRANTED) {
      granted.add(from);
      refusals.remove(from);
      return;
    }
    refusals.put(from, r.decision());
    Optional<ClaimRecord> other = r.existing();
    yields |= other.filter(c -> !isAhead(c)).isPresent();
    if (taken.isEmpty()) {
      taken = other;
    } else if (other.isPresent()
        && ClaimRecord.BY_KNOWLEDGE.compare(other.get(), taken.get()) > 0) {
      taken = other;
    }
  }

  boolean hasMajority() {
    return !seats.witnesses().isEmpty() && seats.isMajority(granted);
  }

  boolean isFull() {
    Set<MemberId> full = new HashSet<>();
    refusals.forEach(
        (w, d) -> {
          if (d == ClaimReply.Decision.FULL) {
            full.add(w);
          }
        });
    return !full.isEmpty() && seats.isMajority(full);
  }

  boolean allReplied() {
    return granted.size() + refusals.size() == seats.witnesses().size();
  }

  /** Tells whether the other claim is one that the same call's earlier attempt is giving up. */
  boolean isTakenByItself() {
    return taken
        .filter(c -> c.state() == ClaimState.RUNNING)
        .filter(c -> c.requestId().equals(context.requestId()))
        .isPresent();
  }

  /**
   * Tells whether this claim and others may hold each other up with no majority for any. Of such
   * claims the first in order goes on asking, and the others give up.
   */
  boolean isCrossedAndFirst() {
    return !granted.isEmpty() && taken.isPresent() && !yields;
  }

  private boolean isAhead(ClaimRecord other) {
    return other.state() == ClaimState.RUNNING && id.compareTo(other.id()) < 0;
  }

  /** Tells whether the other claim's outcome is known as well as it ever will be. */
  boolean isTakenForGood() {
    return taken.filter(c -> c.answer().isPresent()).isPresent();
  }
}
