package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.TargetState;

/**
 * Maintains the roster of live members by failure detection and gossip.
 *
 * <p>Every daemon exchanges heartbeats with a few neighbours ({@link NeighbourRings}), suspects a
 * neighbour whose heartbeats stop, and declares it dead if it doesn't refute the suspicion in time.
 * Changes are gossiped from neighbour to neighbour at once; digests in the heartbeats detect
 * updates that were lost on the way. The roster only steers routing: no safety property depends on
 * it.
 */
public final class MembershipController implements Controller {
  private static final String PART = "members";

  /** Interval of heartbeats to addresses of possible members outside the roster. */
  private static final long DISCOVERY_INTERVAL_NANOS = 1_000_000_000L;

  /** Most members probed at random besides the neighbours while the view is unconfirmed. */
  private static final int RANDOM_PROBES = 3;

  private final Member self;
  private final RandomGenerator random;
  private final EffectSink effects;
  private final MemberTable table;
  private final NeighbourMonitor neighbours = new NeighbourMonitor();
  private final ReachabilityMonitor reachability = new ReachabilityMonitor();
  private final RumourQueue rumours = new RumourQueue();
  private final ViewConfirmation view = new ViewConfirmation();
  private final HeartbeatSender heartbeats;
  private final HeartbeatReceiver heartbeatReceiver;
  private final RosterPublisher publisher;
  private final RosterSync sync;
  private final LogRegistration logRegistration;
  private final PeerDiscovery discovery;
  private final DuplicateHostDetector duplicateHosts;

  private Optional<TargetState> target = Optional.empty();
  private boolean leaving;
  private boolean started;
  private long nextDiscoveryNanos;
  private long neighboursRevision = -1;
  private int neighboursPerSide;

  /**
   * Creates a controller whose roster holds only this daemon.
   *
   * @param self this daemon
   * @param seeds addresses of peers to try besides those recorded in the log
   * @param config receives the configuration versions that peers report; supplies this daemon's
   * @param random source of random choices
   * @param effects receives the controller's effects
   */
  public MembershipController(
      Member self,
      List<Endpoint> seeds,
      ConfigController config,
      RandomGenerator random,
      EffectSink effects) {
    this.self = self;
    this.random = random;
    this.effects = effects;
    this.table = new MemberTable(self);
    this.heartbeats = new HeartbeatSender(table, view, config, effects);
    this.publisher = new RosterPublisher(self, table, view, effects);
    this.sync = new RosterSync(table, rumours, view, this::send);
    this.logRegistration = new LogRegistration(self, random, effects);
    this.discovery = new PeerDiscovery(seeds, random);
    this.duplicateHosts = new DuplicateHostDetector(self.id(), effects);
    this.heartbeatReceiver =
        new HeartbeatReceiver(
            new HeartbeatReceiver.Dependencies(
                table,
                view,
                neighbours,
                reachability,
                rumours,
                sync,
                heartbeats,
                publisher,
                duplicateHosts,
                config,
                effects));
  }

  /** Returns the live members that this daemon can reach, as last published, itself included. */
  public Roster roster() {
    return publisher.published();
  }

  /**
   * Returns the address of a member's peer link, whether the member is live or dead.
   *
   * @param id identity of the member
   * @return the address, empty if the member is unknown
   */
  public Optional<Endpoint> addressOf(MemberId id) {
    return table
        .find(id)
        .map(MemberEntry::member)
        .or(() -> table.findTombstone(id).map(Tombstone::member))
        .map(Member::peer);
  }

  /**
   * Sets the state of this daemon's target that peers are sent: a change of the limit alone with
   * the next heartbeats, any other change also by gossip.
   *
   * @param state state of the target, empty without a target
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void setTarget(Optional<TargetState> state, long nowNanos) {
    if (target.equals(state)) {
      return;
    }
    boolean onlyLimit = withoutLimit(target).equals(withoutLimit(state));
    target = state;
    if (onlyLimit) {
      publisher.recordLimitChange(table.own().refreshLimit(describeSelf()));
    } else {
      announceSelf(0);
    }
    publisher.publish(nowNanos);
  }

  /**
   * Records that routing chose a member. Its reachability from this daemon is then probed for a
   * while.
   *
   * @param member identity of the member; this daemon itself is ignored
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordUse(MemberId member, long nowNanos) {
    if (!member.equals(self.id())) {
      reachability.recordUse(member, nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (!started) {
      start(nowNanos);
    }
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.MessageReceived m) {
      onMessage(m.from(), m.message(), nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.MEMBERS) {
      onLogRead(r, nowNanos);
    } else if (event instanceof Event.AppendCompleted a) {
      logRegistration.onAppendEnded(a, nowNanos);
    } else if (event instanceof Event.LogRestored) {
      logRegistration.onLogRestored(nowNanos);
    } else if (event instanceof Event.LinkLost l) {
      onLinkLost(l.peer(), nowNanos);
    } else if (event instanceof Event.LinkUp l) {
      table
          .find(l.peer())
          .filter(MemberEntry::isUnreachable)
          .ifPresent(e -> heartbeats.probe(e.id(), nowNanos));
    } else if (event instanceof Event.ProcessResumed) {
      onResumed(nowNanos);
    } else if (event instanceof Event.ShutdownRequested) {
      onStopping(nowNanos);
    }
    publisher.publish(nowNanos);
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b =
        StateDump.of(PART)
            .line("self", describeSelf())
            .line("version", table.own().version())
            .line("joined", logRegistration.isJoined())
            .line("view confirmed", view.isConfirmed())
            .line("live", table.live().size())
            .line("neighbours", neighbours.ids());
    table.live().stream()
        .filter(e -> e.isSuspected() || e.isUnreachable())
        .forEach(e -> b.line(e.id().toString(), e.isSuspected() ? "suspected" : "unreachable"));
    table
        .tombstones()
        .forEach(
            t ->
                b.line(
                    t.id().toString(),
                    "dead for "
                        + TimeUnit.NANOSECONDS.toMillis(nowNanos - t.declaredDeadAtNanos())
                        + " ms"));
    return b.build();
  }

  private void start(long nowNanos) {
    started = true;
    view.invalidate(heartbeats.nextSequence(), nowNanos);
    heartbeats.start(nowNanos, random::nextLong);
    nextDiscoveryNanos = nowNanos;
    publisher.start(nowNanos);
  }

  private Member describeSelf() {
    return new Member(self.id(), self.peer(), self.zone(), target, leaving);
  }

  /** Returns the state with limit 0, to compare states regardless of their limits. */
  private static Optional<TargetState> withoutLimit(Optional<TargetState> state) {
    return state.map(
        t -> new TargetState(t.service(), t.slots(), 0, t.cold(), t.draining(), t.version()));
  }

  private void tick(long nowNanos) {
    table.expire(nowNanos);
    updateNeighbours(nowNanos);
    neighbours.tick(nowNanos, id -> heartbeats.probe(id, nowNanos), id -> suspect(id, nowNanos));
    reachability.tick(
        nowNanos,
        id -> table.find(id).isPresent(),
        id -> heartbeats.probe(id, nowNanos),
        id -> setUnreachable(id, nowNanos));
    if (view.isConfirmed() && neighbours.isIsolated(nowNanos)) {
      view.invalidate(heartbeats.nextSequence(), nowNanos);
    }
    if (view.tick(nowNanos)) {
      probeToConfirmView(nowNanos);
    }
    discoverPeers(nowNanos);
    logRegistration.tick(nowNanos);
    heartbeats.tick(neighbours.ids(), nowNanos);
    rumours.flush(neighbours.ids(), this::send);
  }

  private void updateNeighbours(long nowNanos) {
    if (neighboursRevision != table.membershipRevision()
        || neighboursPerSide != neighbours.neighboursPerSide()) {
      neighboursRevision = table.membershipRevision();
      neighboursPerSide = neighbours.neighboursPerSide();
      neighbours.setNeighbours(
          NeighbourRings.neighbours(table.own(), table.live(), neighboursPerSide), nowNanos);
    }
  }

  private void suspect(MemberId id, long nowNanos) {
    setUnreachable(id, nowNanos);
    reachability.markUnreachable(id, nowNanos);
    Suspicion s = new Suspicion(id, table.find(id).map(MemberEntry::version).orElse(0L));
    if (table.suspect(s, nowNanos)) {
      rumours.add(s);
    }
  }

  private void setUnreachable(MemberId id, long nowNanos) {
    table.find(id).ifPresent(e -> publisher.recordRoutingChange(e.markUnreachable(nowNanos)));
  }

  private void onLinkLost(MemberId id, long nowNanos) {
    setUnreachable(id, nowNanos);
    reachability.markUnreachable(id, nowNanos);
    neighbours.onLinkLost(id, nowNanos);
  }

  private void onStopping(long nowNanos) {
    if (!leaving) {
      leaving = true;
      announceSelf(0);
      updateNeighbours(nowNanos);
      rumours.flush(neighbours.ids(), this::send);
      logRegistration.leave(nowNanos);
    }
  }

  private void onResumed(long nowNanos) {
    view.invalidate(heartbeats.nextSequence(), nowNanos);
    neighbours.restartTimeouts(nowNanos);
    reachability.restartTimeouts(nowNanos);
    table.restartSuspicions(nowNanos);
    announceSelf(0);
    publisher.recordRoutingChange(true);
  }

  private void announceSelf(long aboveVersion) {
    rumours.add(table.updateSelf(describeSelf(), aboveVersion));
  }

  private void probeToConfirmView(long nowNanos) {
    Set<MemberId> ids = new HashSet<>(neighbours.ids());
    List<MemberEntry> all = new ArrayList<>(table.live());
    for (int i = 0; i < RANDOM_PROBES; i++) {
      ids.add(all.get(random.nextInt(all.size())).id());
    }
    ids.remove(self.id());
    ids.forEach(id -> heartbeats.probe(id, nowNanos));
  }

  private void discoverPeers(long nowNanos) {
    if (nowNanos - nextDiscoveryNanos < 0) {
      return;
    }
    nextDiscoveryNanos = nowNanos + DISCOVERY_INTERVAL_NANOS;
    discovery.chooseAddress(table, nowNanos).ifPresent(a -> heartbeats.probe(a, nowNanos));
  }

  private void send(MemberId id, PeerMessage m) {
    effects.emit(new Effect.Send(id, m));
  }

  private void onMessage(MemberId from, PeerMessage message, long nowNanos) {
    if (message instanceof Heartbeat h && h.member().id().equals(from)) {
      heartbeatReceiver.receive(h, nowNanos);
    } else if (message instanceof Rumours r && r.syncRequestId() != 0) {
      sync.applyReply(r, nowNanos);
    } else if (message instanceof Rumours r) {
      onGossip(from, r, nowNanos);
    } else if (message instanceof SyncRequest r) {
      sync.reply(from, r, nowNanos);
    }
  }

  private void onGossip(MemberId from, Rumours r, long nowNanos) {
    for (RosterEntry e : r.entries()) {
      duplicateHosts.checkIncarnation(e.member().id());
      if (table.merge(e)) {
        rumours.add(e);
        table.find(e.member().id()).ifPresent(m -> m.confirmIn(view.epoch()));
      }
      rumours.markKnown(from, e);
    }
    for (Suspicion s : r.suspicions()) {
      if (s.member().equals(self.id())) {
        refute(s);
      } else if (table.suspect(s, nowNanos)) {
        rumours.add(s);
      }
      rumours.markKnown(from, s);
    }
  }

  private void refute(Suspicion s) {
    if (s.version() >= table.own().version()) {
      announceSelf(s.version());
    }
  }

  private void onLogRead(Event.LogRead r, long nowNanos) {
    discovery.onLogRead(r);
    logRegistration.onLogRead(r, nowNanos);
    for (StoredEntry e : r.entries()) {
      if (e.entry().orElse(null) instanceof MemberJoined j) {
        duplicateHosts.checkIncarnation(j.member());
      }
    }
  }
}
