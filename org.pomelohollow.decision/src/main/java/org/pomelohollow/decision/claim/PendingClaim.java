package org.pomelohollow.decision.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;

/** A claim for which the executor is collecting grants from the witnesses. */
final class PendingClaim {
  private final ClaimKey key;
  private final RequestContext context;
  private final ClaimId id;
  private final long startedNanos;
  private final Consumer<ClaimResult> listener;
  private final Set<MemberId> contacted = new HashSet<>();
  private final Set<MemberId> granted = new HashSet<>();
  private final Map<MemberId, ClaimReply.Decision> refusals = new HashMap<>();
  private WitnessSet witnessSet = WitnessSet.EMPTY;
  private Optional<ClaimRecord> conflict = Optional.empty();

  /** Whether some conflicting claim is settled, or comes before this one in order. */
  private boolean outranked;

  private long sentNanos;

  PendingClaim(
      ClaimKey key,
      RequestContext context,
      ClaimId id,
      long startedNanos,
      Consumer<ClaimResult> listener) {
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

  Consumer<ClaimResult> listener() {
    return listener;
  }

  /** Returns every member that may have recorded the claim. */
  Set<MemberId> contacted() {
    return contacted;
  }

  WitnessSet witnessSet() {
    return witnessSet;
  }

  /** Returns when the last round of requests was sent, in nanoseconds of the monotonic clock. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns the most conclusive of the conflicting claims in the witnesses' replies. */
  Optional<ClaimRecord> conflict() {
    return conflict;
  }

  /** Discards all grants and refusals, to collect them from the witnesses of another epoch. */
  void restart(WitnessSet newWitnessSet) {
    witnessSet = newWitnessSet;
    granted.clear();
    clearRefusals();
  }

  /** Discards the refusals, which may be out of date by now, and keeps the grants. */
  void discardRefusals() {
    clearRefusals();
  }

  private void clearRefusals() {
    refusals.clear();
    conflict = Optional.empty();
    outranked = false;
  }

  ClaimRequest request() {
    return new ClaimRequest(
        witnessSet.epoch(), key, context.fingerprint(), context.requestId(), id);
  }

  /**
   * Records that a request is being sent to every witness that has not granted the claim, and
   * returns these witnesses.
   */
  Set<MemberId> startRound(long nowNanos) {
    sentNanos = nowNanos;
    Set<MemberId> to = new HashSet<>(witnessSet.witnesses());
    to.removeAll(granted);
    contacted.addAll(to);
    return to;
  }

  /** Records the reply of a witness; ignores one that is not for the current epoch. */
  void recordReply(MemberId from, ClaimReply r) {
    if (r.epoch() != witnessSet.epoch() || !witnessSet.witnesses().contains(from)) {
      return;
    }
    if (r.decision() == ClaimReply.Decision.GRANTED) {
      granted.add(from);
      refusals.remove(from);
      return;
    }
    refusals.put(from, r.decision());
    Optional<ClaimRecord> other = r.existing();
    outranked |= other.filter(c -> !precedes(c)).isPresent();
    if (conflict.isEmpty()) {
      conflict = other;
    } else if (other.isPresent()
        && ClaimRecord.BY_CONCLUSIVENESS.compare(other.get(), conflict.get()) > 0) {
      conflict = other;
    }
  }

  /** Returns whether a majority of the witnesses has granted the claim. */
  boolean hasMajority() {
    return !witnessSet.witnesses().isEmpty() && witnessSet.hasMajorityIn(granted);
  }

  /** Returns whether a majority of the witnesses has refused the claim for lack of room. */
  boolean isRefusedAsFull() {
    Set<MemberId> full = new HashSet<>();
    refusals.forEach(
        (w, d) -> {
          if (d == ClaimReply.Decision.FULL) {
            full.add(w);
          }
        });
    return !full.isEmpty() && witnessSet.hasMajorityIn(full);
  }

  /** Returns whether every witness has granted or refused the claim. */
  boolean haveAllReplied() {
    return granted.size() + refusals.size() == witnessSet.witnesses().size();
  }

  /**
   * Returns whether the conflicting claim belongs to an earlier attempt of the same request, which
   * is about to release it.
   */
  boolean isConflictFromSameRequest() {
    return conflict
        .filter(c -> c.state() == ClaimState.RUNNING)
        .filter(c -> c.requestId().equals(context.requestId()))
        .isPresent();
  }

  /**
   * Returns whether this claim is the one to continue in a split vote, in which concurrent claims
   * on one key may have divided the witnesses so that none has a majority. Of such claims the first
   * in order keeps asking, and the others are released.
   */
  boolean isFirstInSplitVote() {
    return !granted.isEmpty() && conflict.isPresent() && !outranked;
  }

  /** Returns whether another claim may be running but comes after this one in order. */
  private boolean precedes(ClaimRecord other) {
    return other.state() == ClaimState.RUNNING && id.compareTo(other.id()) < 0;
  }

  /**
   * Returns whether the conflicting claim has a recorded response, so that its outcome is final.
   */
  boolean isConflictFinal() {
    return conflict.filter(c -> c.response().isPresent()).isPresent();
  }
}
