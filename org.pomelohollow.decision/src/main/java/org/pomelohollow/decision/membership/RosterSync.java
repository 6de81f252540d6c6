package org.pomelohollow.decision.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;

/**
 * Reconciles this daemon's roster with a peer's where their digests differ (anti-entropy), with one
 * peer at a time.
 */
final class RosterSync {
  /** Time after which another request may be sent although the last one has no complete reply. */
  private static final long REPLY_TIMEOUT_NANOS = 1_000_000_000L;

  private final MemberTable table;
  private final RumourQueue rumours;
  private final ViewConfirmation view;
  private final BiConsumer<MemberId, PeerMessage> send;
  private final Set<MemberId> reportedIds = new HashSet<>();
  private long requestId;
  private long requestEpoch;
  private long requestedAtNanos;
  private boolean pending;

  /**
   * Creates a synchronizer without a pending request.
   *
   * @param table roster to reconcile
   * @param rumours receives the suspicions that replies bring, to gossip them
   * @param view whether the roster is confirmed; a complete reply confirms it
   * @param send sends a message to a member
   */
  RosterSync(
      MemberTable table,
      RumourQueue rumours,
      ViewConfirmation view,
      BiConsumer<MemberId, PeerMessage> send) {
    this.table = table;
    this.rumours = rumours;
    this.view = view;
    this.send = send;
  }

  /**
   * Requests the differing entries from a peer, unless the reply to an earlier request is pending.
   *
   * @param peer identity of the peer
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void request(MemberId peer, long nowNanos) {
    if (pending && nowNanos - requestedAtNanos < REPLY_TIMEOUT_NANOS) {
      return;
    }
    pending = true;
    requestedAtNanos = nowNanos;
    requestEpoch = view.epoch();
    requestId++;
    reportedIds.clear();
    send.accept(peer, new SyncRequest(table.digest().bucketDigests(), requestId));
  }

  /**
   * Replies to a peer with the entries and deaths of the buckets that differ, unless this daemon's
   * own view is unconfirmed.
   *
   * @param peer identity of the peer
   * @param r request of the peer
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void reply(MemberId peer, SyncRequest r, long nowNanos) {
    if (!view.isConfirmed()) {
      return;
    }
    long buckets = table.digest().differingBuckets(r.bucketDigests());
    List<RosterEntry> entries = table.entriesIn(buckets);
    List<Suspicion> deaths = table.deathsToReport(buckets, nowNanos);
    RumourQueue.split(entries, deaths, r.requestId(), buckets).forEach(m -> send.accept(peer, m));
  }

  /**
   * Applies a part of a reply. Ignores it if it belongs to another request, or if this daemon's
   * view became unconfirmed after the request.
   *
   * @param r part of the reply
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void applyReply(Rumours r, long nowNanos) {
    if (!pending || r.syncRequestId() != requestId || requestEpoch != view.epoch()) {
      return;
    }
    for (RosterEntry e : r.entries()) {
      applyEntry(e, nowNanos);
    }
    for (Suspicion s : r.suspicions()) {
      if (table.suspect(s, nowNanos)) {
        rumours.add(s);
      }
    }
    if (r.coveredBuckets() != 0) {
      complete(r.coveredBuckets());
    }
  }

  private void applyEntry(RosterEntry r, long nowNanos) {
    MemberId id = r.member().id();
    reportedIds.add(id);
    if (!table.merge(r)) {
      table.reviveFromReport(r, nowNanos);
    }
    table.find(id).ifPresent(e -> e.confirmIn(view.epoch()));
  }

  private void complete(long buckets) {
    pending = false;
    if (!view.isConfirmed()) {
      removeUnreported(buckets);
      view.confirm();
    }
  }

  /** Removes the entries from before the view became unconfirmed that the peer doesn't have. */
  private void removeUnreported(long buckets) {
    List<MemberId> unreportedIds =
        table.live().stream()
            .filter(
                e -> !e.isConfirmedIn(view.epoch()) && RosterDigest.isInBuckets(buckets, e.id()))
            .map(MemberEntry::id)
            .filter(id -> !reportedIds.contains(id))
            .toList();
    unreportedIds.forEach(table::removeWithoutTombstone);
  }
}
