package org.pomelohollow.decision.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Maintains the ring: the members that act as witnesses of claims. The daemons agree on each
 * version of the ring by the order of proposals in the log; the leader, the first live member,
 * writes the proposals. Between changes of the ring neither the log nor the peers are needed.
 */
final class ClaimRing {
  private static final long PROPOSAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long CHECKPOINT_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** First append identifier of this class, apart from those of other controllers. */
  private static final long FIRST_APPEND_ID = 1L << 62;

  private final MemberId self;
  private final long windowNanos;
  private final EffectSink effects;
  private final Map<MemberId, Long> absentSinceNanos = new HashMap<>();
  private final RingFold fold = new RingFold();
  private Optional<Roster> roster = Optional.empty();
  private long startedNanos = Long.MIN_VALUE;
  private long nextProposalNanos = Long.MIN_VALUE;
  private long nextCheckpointNanos = Long.MIN_VALUE;
  private long lastConfirmedNanos;
  private long nextAppendId = FIRST_APPEND_ID;

  ClaimRing(MemberId self, long windowNanos, EffectSink effects) {
    this.self = self;
    this.windowNanos = windowNanos;
    this.effects = effects;
  }

  RingState state() {
    return fold.ring();
  }

  /** Returns whether a member is this daemon or in the roster. */
  boolean isLive(MemberId id) {
    return id.equals(self) || roster.flatMap(r -> r.find(id)).isPresent();
  }

  /**
   * Returns whether this daemon may rely on its ring: within half of the claim window it has
   * started, it has read the log to its end, or a majority of the ring's members were live.
   */
  boolean isConfirmed(long nowNanos) {
    return !state().isEmpty() && nowNanos - lastConfirmedNanos < windowNanos / 2;
  }

  void handle(Event event, long nowNanos) {
    if (startedNanos == Long.MIN_VALUE) {
      startedNanos = nowNanos;
      lastConfirmedNanos = nowNanos;
      nextCheckpointNanos = nowNanos + CHECKPOINT_INTERVAL_NANOS;
    }
    if (event instanceof Event.LogRead r && r.stream() == LogStream.CLAIMS) {
      applyRead(r, nowNanos);
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
    } else if (event instanceof Event.MessageReceived m) {
      handleMessage(m);
    } else if (event instanceof Event.Tick) {
      tick(nowNanos);
    }
  }

  /** Fetches the ring of a peer if its version is newer than the version here. */
  void observePeerVersion(MemberId peer, long version) {
    if (version > state().version()) {
      effects.emit(new Effect.Send(peer, new RingFetch(state().version())));
    }
  }

  private void handleMessage(Event.MessageReceived m) {
    if (m.message() instanceof RingFetch f && state().version() > f.haveVersion()) {
      effects.emit(new Effect.Send(m.from(), new RingTransfer(state(), fold.completeUpTo())));
    } else if (m.message() instanceof RingTransfer t) {
      long previousVersion = state().version();
      fold.restore(t.ring(), t.nextOffset());
      logIfChanged(previousVersion);
    }
  }

  private void applyRead(Event.LogRead r, long nowNanos) {
    long previousVersion = state().version();
    fold.applyRead(r);
    logIfChanged(previousVersion);
    if (fold.isCaughtUp()) {
      lastConfirmedNanos = nowNanos;
    }
  }

  private void logIfChanged(long previousVersion) {
    if (state().version() > previousVersion) {
      String text = "ring " + state().version() + " is in force";
      effects.emit(new Effect.LogLine("claims", false, text));
    }
  }

  private void tick(long nowNanos) {
    updateLiveness(nowNanos);
    if (roster.isEmpty() || !isLeader(roster.get())) {
      return;
    }
    if (fold.isCaughtUp() && nowNanos >= nextProposalNanos) {
      nextProposalNanos = nowNanos + PROPOSAL_INTERVAL_NANOS;
      propose(roster.get(), nowNanos);
    }
    if (!state().isEmpty() && fold.isComplete() && nowNanos >= nextCheckpointNanos) {
      nextCheckpointNanos = nowNanos + CHECKPOINT_INTERVAL_NANOS;
      append(new RingCheckpoint(state(), fold.completeUpTo()));
    }
  }

  /** Updates the times since which members are absent, and confirms the ring by its majority. */
  private void updateLiveness(long nowNanos) {
    int live = 0;
    for (RingMember m : state().members()) {
      if (isLive(m.id())) {
        live++;
        absentSinceNanos.remove(m.id());
      } else {
        absentSinceNanos.putIfAbsent(m.id(), nowNanos);
      }
    }
    absentSinceNanos.keySet().removeIf(id -> !state().contains(id));
    if (2 * live > state().members().size()) {
      lastConfirmedNanos = nowNanos;
    }
  }

  private boolean isLeader(Roster r) {
    return r.members().stream()
        .filter(m -> !m.leaving())
        .findFirst()
        .filter(m -> m.id().equals(self))
        .isPresent();
  }

  /**
   * Proposes a change of the ring's members. If the ring is unknown after a gap in the log, starts
   * a new one once the claim window has passed, when all earlier claims have expired. The version
   * of the new ring is above every earlier one, since each version takes at least one log entry.
   */
  private void propose(Roster r, long nowNanos) {
    List<RingMember> desired = desiredMembers(r, nowNanos);
    if (desired.isEmpty() || desired.equals(state().members())) {
      return;
    }
    if (fold.isComplete()) {
      append(new RingProposal(state().version(), desired));
    } else if (state().isEmpty() && nowNanos - startedNanos > windowNanos) {
      long end = fold.endOffset();
      append(new RingCheckpoint(RingState.EMPTY.withMembers(end + 1, desired), end));
    }
  }

  /**
   * Returns the members that the next version should have: the live members that are not leaving,
   * and absent members of the ring that have not departed for certain.
   */
  private List<RingMember> desiredMembers(Roster r, long nowNanos) {
    List<RingMember> result = new ArrayList<>();
    for (RingMember m : state().members()) {
      boolean staying = r.find(m.id()).filter(k -> !k.leaving()).isPresent();
      if (staying || (r.find(m.id()).isEmpty() && !hasDeparted(m.id(), r, nowNanos))) {
        result.add(m);
      }
    }
    for (Member m : r.members()) {
      if (!m.leaving() && !state().contains(m.id())) {
        result.add(new RingMember(m.id(), m.zone()));
      }
    }
    return result;
  }

  /**
   * Returns whether a member that is not in the roster has been replaced by a later incarnation, or
   * has been absent for the whole claim window.
   */
  private boolean hasDeparted(MemberId id, Roster r, long nowNanos) {
    boolean replaced = r.members().stream().anyMatch(m -> m.id().replaces(id));
    Long absentSince = absentSinceNanos.get(id);
    return replaced || (absentSince != null && nowNanos - absentSince > windowNanos);
  }

  private void append(LogEntry e) {
    effects.emit(new Effect.Append(nextAppendId++, LogStream.CLAIMS, e));
  }
}
