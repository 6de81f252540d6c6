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
 * Agrees on the members that witness claims, by the order of the log. Between changes it needs
 * neither the log nor its peers.
 */
final class ClaimRing {
  private static final long PROPOSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long CHECKPOINT_NANOS = TimeUnit.MINUTES.toNanos(10);
  private static final long FIRST_APPEND_ID = 1L << 62;

  private final MemberId self;
  private final long windowNanos;
  private final EffectSink effects;
  private final Map<MemberId, Long> lostSince = new HashMap<>();
  private final RingFold fold = new RingFold();
  private Optional<Roster> roster = Optional.empty();
  private long startedNanos = Long.MIN_VALUE;
  private long nextProposalNanos = Long.MIN_VALUE;
  private long nextCheckpointNanos = Long.MIN_VALUE;
  private long confirmedNanos;
  private long appendId = FIRST_APPEND_ID;

  ClaimRing(MemberId self, long windowNanos, EffectSink effects) {
    this.self = self;
    this.windowNanos = windowNanos;
    this.effects = effects;
  }

  RingState state() {
    return fold.ring();
  }

  boolean isLive(MemberId id) {
    return id.equals(self) || roster.flatMap(r -> r.find(id)).isPresent();
  }

  /**
   * Tells whether this daemon may rely on its ring: it has read the log, or seen a majority of the
   * ring live, within half of the claim window.
   */
  boolean isConfirmed(long nowNanos) {
    return !state().isNone() && nowNanos - confirmedNanos < windowNanos / 2;
  }

  void handle(Event event, long nowNanos) {
    if (startedNanos == Long.MIN_VALUE) {
      startedNanos = nowNanos;
      confirmedNanos = nowNanos;
      nextCheckpointNanos = nowNanos + CHECKPOINT_NANOS;
    }
    if (event instanceof Event.LogRead r && r.stream() == LogStream.CLAIMS) {
      read(r, nowNanos);
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
    } else if (event instanceof Event.MessageReceived m) {
      receive(m);
    } else if (event instanceof Event.Tick) {
      tick(nowNanos);
    }
  }

  /** Fetches the ring of a peer that has a newer one. */
  void hearVersion(MemberId peer, long version) {
    if (version > state().version()) {
      effects.emit(new Effect.Send(peer, new RingFetch(state().version())));
    }
  }

  private void receive(Event.MessageReceived m) {
    if (m.message() instanceof RingFetch f && state().version() > f.have()) {
      effects.emit(new Effect.Send(m.from(), new RingTransfer(state(), fold.through())));
    } else if (m.message() instanceof RingTransfer t) {
      long before = state().version();
      fold.restore(t.ring(), t.through());
      note(before);
    }
  }

  private void read(Event.LogRead r, long nowNanos) {
    long before = state().version();
    fold.read(r);
    note(before);
    if (fold.isCaughtUp()) {
      confirmedNanos = nowNanos;
    }
  }

  private void note(long before) {
    if (state().version() > before) {
      String text = "ring " + state().version() + " is in force";
      effects.emit(new Effect.LogLine("claims", false, text));
    }
  }

  private void tick(long nowNanos) {
    noteLosses(nowNanos);
    if (roster.isEmpty() || !isLeader(roster.get())) {
      return;
    }
    if (fold.isCaughtUp() && nowNanos >= nextProposalNanos) {
      nextProposalNanos = nowNanos + PROPOSAL_NANOS;
      propose(roster.get(), nowNanos);
    }
    if (!state().isNone() && fold.isCertain() && nowNanos >= nextCheckpointNanos) {
      nextCheckpointNanos = nowNanos + CHECKPOINT_NANOS;
      append(new RingCheckpoint(state(), fold.through()));
    }
  }

  private void noteLosses(long nowNanos) {
    int live = 0;
    for (RingMember m : state().members()) {
      if (isLive(m.id())) {
        live++;
        lostSince.remove(m.id());
      } else {
        lostSince.putIfAbsent(m.id(), nowNanos);
      }
    }
    lostSince.keySet().removeIf(id -> !state().contains(id));
    if (2 * live > state().members().size()) {
      confirmedNanos = nowNanos;
    }
  }

  private boolean isLeader(Roster r) {
    return r.members().stream()
        .filter(m -> !m.leaving())
        .findFirst()
        .filter(m -> m.id().equals(self))
        .isPresent();
  }

  private void propose(Roster r, long nowNanos) {
    List<RingMember> wanted = wanted(r, nowNanos);
    if (wanted.isEmpty() || wanted.equals(state().members())) {
      return;
    }
    if (fold.isCertain()) {
      append(new RingProposal(state().version(), wanted));
    } else if (state().isNone() && nowNanos - startedNanos > windowNanos) {
      long end = fold.endOffset();
      append(new RingCheckpoint(RingState.NONE.at(end + 1, wanted), end));
    }
  }

  private List<RingMember> wanted(Roster r, long nowNanos) {
    List<RingMember> out = new ArrayList<>();
    for (RingMember m : state().members()) {
      boolean live = r.find(m.id()).filter(k -> !k.leaving()).isPresent();
      if (live || (r.find(m.id()).isEmpty() && !isGone(m.id(), r, nowNanos))) {
        out.add(m);
      }
    }
    for (Member m : r.members()) {
      if (!m.leaving() && !state().contains(m.id())) {
        out.add(new RingMember(m.id(), m.zone()));
      }
    }
    return out;
  }

  /** Tells whether a silent member has been replaced, or silent for the whole claim window. */
  private boolean isGone(MemberId id, Roster r, long nowNanos) {
    boolean replaced = r.members().stream().anyMatch(m -> m.id().replaces(id));
    Long since = lostSince.get(id);
    return replaced || (since != null && nowNanos - since > windowNanos);
  }

  private void append(LogEntry e) {
    effects.emit(new Effect.Append(appendId++, LogStream.CLAIMS, e));
  }
}
