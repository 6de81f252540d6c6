package org.pomelohollow.decision.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/** Levels out differences between this daemon's roster and a peer's, one peer at a time. */
final class RosterSync {
  private static final long TIMEOUT_NANOS = 1_000_000_000L;

  private final MemberTable table;
  private final RumourQueue rumours;
  private final Freshness freshness;
  private final BiConsumer<MemberId, PeerMessage> send;
  private final Set<MemberId> reported = new HashSet<>();
  private long request;
  private long requestEpoch;
  private long requestedAtNanos;
  private boolean pending;

  RosterSync(
      MemberTable table,
      RumourQueue rumours,
      Freshness freshness,
      BiConsumer<MemberId, PeerMessage> send) {
    this.table = table;
    this.rumours = rumours;
    this.freshness = freshness;
    this.send = send;
  }

  /** Asks a peer for what differs, unless an answer from another is still awaited. */
  void request(MemberId peer, long nowNanos) {
    if (pending && nowNanos - requestedAtNanos < TIMEOUT_NANOS) {
      return;
    }
    pending = true;
    requestedAtNanos = nowNanos;
    requestEpoch = freshness.epoch();
    request++;
    reported.clear();
    send.accept(peer, new SyncRequest(table.digest().buckets(), request));
  }

  /** Answers a peer, unless this daemon's own view is stale. */
  void answer(MemberId peer, SyncRequest r, long nowNanos) {
    if (!freshness.isFresh()) {
      return;
    }
    long buckets = table.digest().differing(r.digests());
    List<RosterEntry> entries = table.entries(buckets);
    List<Suspicion> deaths = table.deathsToReport(buckets, nowNanos);
    RumourQueue.split(entries, deaths, r.request(), buckets).forEach(m -> send.accept(peer, m));
  }

  /** Takes a part of an answer. */
  void take(Rumours r, long nowNanos) {
    if (!pending || r.answerTo() != request || requestEpoch != freshness.epoch()) {
      return;
    }
    for (RosterEntry e : r.entries()) {
      takeEntry(e, nowNanos);
    }
    for (Suspicion s : r.suspicions()) {
      if (table.suspect(s, nowNanos)) {
        rumours.add(s);
      }
    }
    if (r.buckets() != 0) {
      complete(r.buckets());
    }
  }

  private void takeEntry(RosterEntry r, long nowNanos) {
    MemberId id = r.member().id();
    reported.add(id);
    if (!table.accept(r)) {
      table.reviveByReport(r, nowNanos);
    }
    table.find(id).ifPresent(e -> e.vouch(freshness.epoch()));
  }

  private void complete(long buckets) {
    pending = false;
    if (!freshness.isFresh()) {
      dropUnreported(buckets);
      freshness.confirm();
    }
  }

  /** Replaces what this daemon believed before its view became stale. */
  private void dropUnreported(long buckets) {
    List<MemberId> unreported =
        table.live().stream()
            .filter(e -> !e.isVouchedIn(freshness.epoch()) && RosterDigest.isIn(buckets, e.id()))
            .map(MemberEntry::id)
            .filter(id -> !reported.contains(id))
            .toList();
    unreported.forEach(table::drop);
  }
}
