package org.pomelohollow.decision.membership;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/**
 * Handles the heartbeats of peers: learns what they tell of the sender, replies to probes, makes
 * members live again that were declared dead, and compares the rosters' digests.
 */
final class HeartbeatReceiver {
  /**
   * Age below which an acknowledged heartbeat counts as recent: the message that acknowledges it
   * then can't be a late one.
   */
  private static final long RECENT_ACK_NANOS = 2_000_000_000L;

  /**
   * Heartbeats in a row with a differing digest after which a neighbour is asked for its roster.
   */
  private static final int MISMATCHES_BEFORE_SYNC = 2;

  private final Dependencies deps;

  HeartbeatReceiver(Dependencies deps) {
    this.deps = deps;
  }

  /**
   * Handles a heartbeat.
   *
   * @param h the heartbeat, whose sender has been authenticated
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void receive(Heartbeat h, long nowNanos) {
    MemberId id = h.member().id();
    deps.duplicateHosts.checkHeartbeat(h.member(), deps.table.isReplaced(id), nowNanos);
    if (id.host().equals(deps.table.own().id().host()) || deps.table.isReplaced(id)) {
      return;
    }
    OptionalLong ackedAgeNanos = deps.heartbeats.ageNanos(h.acknowledgedSequence(), nowNanos);
    boolean recentAck = ackedAgeNanos.isPresent() && ackedAgeNanos.getAsLong() < RECENT_ACK_NANOS;
    RosterEntry r = new RosterEntry(h.member(), h.version());
    if (deps.table.merge(r)) {
      deps.rumours.add(r);
    }
    deps.rumours.markKnown(id, r);
    deps.table.findTombstone(id).ifPresent(t -> onDeadHeartbeat(t, h, recentAck, nowNanos));
    deps.table.find(id).ifPresent(e -> onLiveHeartbeat(e, h, recentAck, nowNanos));
    if (h.replyRequested()) {
      reply(h.member(), deps.heartbeats.acknowledging(h.sequence(), false, nowNanos));
    }
    deps.config.observePeerVersion(id, h.configVersion());
    ackedAgeNanos.ifPresent(a -> reportConfigAge(h, a, nowNanos));
    compareDigests(h, recentAck, nowNanos);
  }

  private void reportConfigAge(Heartbeat h, long ageNanos, long nowNanos) {
    long ageMillis = h.configAgeMillis() + TimeUnit.NANOSECONDS.toMillis(ageNanos);
    deps.config.observePeerFreshness(h.member().id(), h.configVersion(), ageMillis, nowNanos);
  }

  private void onLiveHeartbeat(MemberEntry e, Heartbeat h, boolean recentAck, long nowNanos) {
    if (e.recordSequence(h.sequence())) {
      deps.neighbours.recordHeartbeat(e.id(), nowNanos);
      deps.publisher.recordLimitChange(h.version() == e.version() && e.refreshLimit(h.member()));
    }
    if (!recentAck) {
      return;
    }
    long sentAtNanos =
        nowNanos - deps.heartbeats.ageNanos(h.acknowledgedSequence(), nowNanos).orElseThrow();
    deps.reachability.recordAck(e.id(), sentAtNanos);
    deps.publisher.recordRoutingChange(e.recordAck(sentAtNanos));
    if (deps.view.recordAck(h.acknowledgedSequence())) {
      deps.publisher.recordRoutingChange(
          !deps.view.isConfirmed() && !e.isConfirmedIn(deps.view.epoch()));
      e.confirmIn(deps.view.epoch());
    }
  }

  /**
   * Handles a heartbeat of a member declared dead. A recent acknowledgement makes the member live
   * again; any other heartbeat may be a late message, and is replied to with a probe.
   */
  private void onDeadHeartbeat(Tombstone t, Heartbeat h, boolean recentAck, long nowNanos) {
    if (t.member().leaving()) {
      return;
    }
    if (recentAck) {
      deps.table.revive(new RosterEntry(h.member(), h.version()));
    } else {
      reply(h.member(), deps.heartbeats.acknowledging(h.sequence(), true, nowNanos));
    }
    if (nowNanos - t.declaredDeadAtNanos() < t.holdDownNanos()) {
      // Prompts the member to raise its version, which overrides the death at all other members.
      List<Suspicion> s = List.of(new Suspicion(t.id(), t.version()));
      reply(h.member(), new Rumours(List.of(), s, 0, 0));
    }
  }

  /**
   * Compares the sender's roster digest with this daemon's. While the view is unconfirmed, a
   * heartbeat that acknowledges one of the present epoch confirms it if the digests are equal. If
   * they differ, requests the sender's entries: at once to confirm the view or if the sender is no
   * neighbour, otherwise after several mismatches in a row.
   */
  private void compareDigests(Heartbeat h, boolean recentAck, long nowNanos) {
    MemberId id = h.member().id();
    if (h.rosterDigest() == 0 || deps.table.find(id).isEmpty()) {
      return;
    }
    boolean differs = h.rosterDigest() != deps.table.digest().total();
    int mismatches = deps.neighbours.countDigestMismatches(id, differs);
    boolean confirming =
        !deps.view.isConfirmed() && recentAck && deps.view.recordAck(h.acknowledgedSequence());
    if (!differs) {
      if (confirming) {
        deps.view.confirm();
      }
      return;
    }
    boolean nonNeighbour = recentAck && !deps.neighbours.contains(id);
    if (confirming || nonNeighbour || mismatches >= MISMATCHES_BEFORE_SYNC) {
      deps.sync.request(id, nowNanos);
    }
  }

  /** Sends to a member, by its address if the published roster doesn't hold it yet. */
  private void reply(Member to, PeerMessage m) {
    if (deps.publisher.published().find(to.id()).isPresent()) {
      deps.effects.emit(new Effect.Send(to.id(), m));
    } else {
      deps.effects.emit(new Effect.SendToAddress(to.peer(), m));
    }
  }

  /**
   * Collaborators of a receiver.
   *
   * @param table members, this daemon among them
   * @param view whether the members are confirmed
   * @param neighbours members that this daemon monitors
   * @param reachability members whose reachability is probed
   * @param rumours updates to gossip
   * @param sync reconciles rosters whose digests differ
   * @param heartbeats sends replies
   * @param publisher publishes the changed roster
   * @param duplicateHosts warns of two hosts with one name
   * @param config told of peers' configuration versions
   * @param effects receives messages
   */
  record Dependencies(
      MemberTable table,
      ViewConfirmation view,
      NeighbourMonitor neighbours,
      ReachabilityMonitor reachability,
      RumourQueue rumours,
      RosterSync sync,
      HeartbeatSender heartbeats,
      RosterPublisher publisher,
      DuplicateHostDetector duplicateHosts,
      ConfigController config,
      EffectSink effects) {}
}
