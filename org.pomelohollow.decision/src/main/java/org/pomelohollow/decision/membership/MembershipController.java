package org.pomelohollow.decision.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
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
  private static final long HEARTBEAT_INTERVAL_NANOS = 400_000_000L;

  /** Interval of heartbeats to addresses of possible members outside the roster. */
  private static final long DISCOVERY_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * Age below which an acknowledged heartbeat counts as recent: the message that acknowledges it
   * then can't be a late one.
   */
  private static final long RECENT_ACK_NANOS = 2_000_000_000L;

  /** Least time between rosters that differ only in the limits of targets. */
  private static final long LIMIT_PUBLISH_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * Heartbeats in a row with a differing digest after which a neighbour is asked for its roster.
   */
  private static final int MISMATCHES_BEFORE_SYNC = 2;

  /** Most members probed at random besides the neighbours while the view is unconfirmed. */
  private static final int RANDOM_PROBES = 3;

  private final Member self;
  private final ConfigController config;
  private final RandomGenerator random;
  private final EffectSink effects;
  private final MemberTable table;
  private final NeighbourMonitor neighbours = new NeighbourMonitor();
  private final ReachabilityMonitor reachability = new ReachabilityMonitor();
  private final RumourQueue rumours = new RumourQueue();
  private final ViewConfirmation view = new ViewConfirmation();
  private final HeartbeatSendTimes sendTimes = new HeartbeatSendTimes();
  private final RosterSync sync;
  private final LogRegistration logRegistration;
  private final PeerDiscovery discovery;
  private final DuplicateHostDetector duplicateHosts;

  private Optional<TargetState> target = Optional.empty();
  private boolean leaving;
  private boolean started;
  private long configVersionSent;
  private long nextHeartbeatNanos;
  private long nextDiscoveryNanos;
  private long neighboursRevision = -1;
  private int neighboursPerSide;

  private Roster roster;
  private boolean routingChanged;
  private boolean limitChanged;
  private boolean publishedConfirmed;
  private long publishedRevision = -1;
  private long publishedAtNanos;

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
    this.config = config;
    this.random = random;
    this.effects = effects;
    this.table = new MemberTable(self);
    this.sync = new RosterSync(table, rumours, view, this::send);
    this.logRegistration = new LogRegistration(self, random, effects);
    this.discovery = new PeerDiscovery(seeds, random);
    this.duplicateHosts = new DuplicateHostDetector(self.id(), effects);
    this.roster = Roster.of(self.id(), List.of(self));
  }

  /** Returns the live members that this daemon can reach, as last published, itself included. */
  public Roster roster() {
    return roster;
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
      limitChanged |= table.own().refreshLimit(describeSelf());
    } else {
      announceSelf(0);
    }
    publish(nowNanos);
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
    } else if (event instanceof Event.LinkLost l) {
      onLinkLost(l.peer(), nowNanos);
    } else if (event instanceof Event.LinkUp l) {
      table
          .find(l.peer())
          .filter(MemberEntry::isUnreachable)
          .ifPresent(e -> probe(e.id(), nowNanos));
    } else if (event instanceof Event.ProcessResumed) {
      onResumed(nowNanos);
    } else if (event instanceof Event.ShutdownRequested) {
      onStopping(nowNanos);
    }
    publish(nowNanos);
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
    view.invalidate(sendTimes.nextSequence(), nowNanos);
    nextHeartbeatNanos = nowNanos + random.nextLong(HEARTBEAT_INTERVAL_NANOS);
    nextDiscoveryNanos = nowNanos;
    publishedAtNanos = nowNanos;
  }

  private Member describeSelf() {
    return new Member(self.id(), self.peer(), self.zone(), target, leaving);
  }

  /** Returns the state with limit 0, to compare states regardless of their limits. */
  private static Optional<TargetState> withoutLimit(Optional<TargetState> state) {
    return state.map(t -> new TargetState(t.service(), t.slots(), 0, t.cold(), t.draining()));
  }

  private void tick(long nowNanos) {
    table.expire(nowNanos);
    updateNeighbours(nowNanos);
    neighbours.tick(nowNanos, id -> probe(id, nowNanos), id -> suspect(id, nowNanos));
    reachability.tick(
        nowNanos,
        id -> table.find(id).isPresent(),
        id -> probe(id, nowNanos),
        id -> setUnreachable(id, nowNanos));
    if (view.isConfirmed() && neighbours.isIsolated(nowNanos)) {
      view.invalidate(sendTimes.nextSequence(), nowNanos);
    }
    if (view.tick(nowNanos)) {
      probeToConfirmView(nowNanos);
    }
    discoverPeers(nowNanos);
    logRegistration.tick(nowNanos);
    if (nowNanos - nextHeartbeatNanos >= 0 || config.version() != configVersionSent) {
      nextHeartbeatNanos = nowNanos + HEARTBEAT_INTERVAL_NANOS;
      sendHeartbeats(nowNanos);
    }
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
    table.find(id).ifPresent(e -> routingChanged |= e.markUnreachable(nowNanos));
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
    view.invalidate(sendTimes.nextSequence(), nowNanos);
    neighbours.restartTimeouts(nowNanos);
    reachability.restartTimeouts(nowNanos);
    table.restartSuspicions(nowNanos);
    announceSelf(0);
    routingChanged = true;
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
    ids.forEach(id -> probe(id, nowNanos));
  }

  private void discoverPeers(long nowNanos) {
    if (nowNanos - nextDiscoveryNanos < 0) {
      return;
    }
    nextDiscoveryNanos = nowNanos + DISCOVERY_INTERVAL_NANOS;
    discovery
        .chooseAddress(table, nowNanos)
        .ifPresent(a -> effects.emit(new Effect.SendToAddress(a, heartbeat(0, true, nowNanos))));
  }

  private void sendHeartbeats(long nowNanos) {
    configVersionSent = config.version();
    neighbours.ids().forEach(id -> send(id, heartbeat(id, false, nowNanos)));
  }

  private Heartbeat heartbeat(MemberId to, boolean replyRequested, long nowNanos) {
    return heartbeat(
        table.find(to).map(MemberEntry::highestSequence).orElse(0L), replyRequested, nowNanos);
  }

  private Heartbeat heartbeat(long acknowledgedSequence, boolean replyRequested, long nowNanos) {
    return new Heartbeat(
        table.own().member(),
        table.own().version(),
        sendTimes.recordNext(nowNanos),
        config.version(),
        view.isConfirmed() ? table.digest().total() : 0,
        config.configAgeMillis(nowNanos),
        replyRequested,
        acknowledgedSequence);
  }

  private void probe(MemberId id, long nowNanos) {
    send(id, heartbeat(id, true, nowNanos));
  }

  private void send(MemberId id, PeerMessage m) {
    effects.emit(new Effect.Send(id, m));
  }

  /** Sends to a member, by its address if the published roster doesn't hold it yet. */
  private void reply(Member to, PeerMessage m) {
    if (roster.find(to.id()).isPresent()) {
      send(to.id(), m);
    } else {
      effects.emit(new Effect.SendToAddress(to.peer(), m));
    }
  }

  private void onMessage(MemberId from, PeerMessage message, long nowNanos) {
    if (message instanceof Heartbeat h && h.member().id().equals(from)) {
      onHeartbeat(h, nowNanos);
    } else if (message instanceof Rumours r && r.syncRequestId() != 0) {
      sync.applyReply(r, nowNanos);
    } else if (message instanceof Rumours r) {
      onGossip(from, r, nowNanos);
    } else if (message instanceof SyncRequest r) {
      sync.reply(from, r, nowNanos);
    }
  }

  private void onHeartbeat(Heartbeat h, long nowNanos) {
    MemberId id = h.member().id();
    duplicateHosts.checkHeartbeat(h.member(), table.isReplaced(id), nowNanos);
    if (id.host().equals(self.id().host()) || table.isReplaced(id)) {
      return;
    }
    OptionalLong ackedAgeNanos = sendTimes.ageNanos(h.acknowledgedSequence(), nowNanos);
    boolean recentAck = ackedAgeNanos.isPresent() && ackedAgeNanos.getAsLong() < RECENT_ACK_NANOS;
    RosterEntry r = new RosterEntry(h.member(), h.version());
    if (table.merge(r)) {
      rumours.add(r);
    }
    rumours.markKnown(id, r);
    table.findTombstone(id).ifPresent(t -> onDeadHeartbeat(t, h, recentAck, nowNanos));
    table.find(id).ifPresent(e -> onLiveHeartbeat(e, h, recentAck, nowNanos));
    if (h.replyRequested()) {
      reply(h.member(), heartbeat(h.sequence(), false, nowNanos));
    }
    config.observePeerVersion(id, h.configVersion());
    ackedAgeNanos.ifPresent(a -> reportConfigAge(h, a, nowNanos));
    compareDigests(h, recentAck, nowNanos);
  }

  private void reportConfigAge(Heartbeat h, long ageNanos, long nowNanos) {
    long ageMillis = h.configAgeMillis() + TimeUnit.NANOSECONDS.toMillis(ageNanos);
    config.observePeerFreshness(h.member().id(), h.configVersion(), ageMillis, nowNanos);
  }

  private void onLiveHeartbeat(MemberEntry e, Heartbeat h, boolean recentAck, long nowNanos) {
    if (e.recordSequence(h.sequence())) {
      neighbours.recordHeartbeat(e.id(), nowNanos);
      limitChanged |= h.version() == e.version() && e.refreshLimit(h.member());
    }
    if (!recentAck) {
      return;
    }
    long sentAtNanos =
        nowNanos - sendTimes.ageNanos(h.acknowledgedSequence(), nowNanos).orElseThrow();
    reachability.recordAck(e.id(), sentAtNanos);
    routingChanged |= e.recordAck(sentAtNanos);
    if (view.recordAck(h.acknowledgedSequence())) {
      routingChanged |= !view.isConfirmed() && !e.isConfirmedIn(view.epoch());
      e.confirmIn(view.epoch());
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
      table.revive(new RosterEntry(h.member(), h.version()));
    } else {
      reply(h.member(), heartbeat(h.sequence(), true, nowNanos));
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
    if (h.rosterDigest() == 0 || table.find(id).isEmpty()) {
      return;
    }
    boolean differs = h.rosterDigest() != table.digest().total();
    int mismatches = neighbours.countDigestMismatches(id, differs);
    boolean confirming =
        !view.isConfirmed() && recentAck && view.recordAck(h.acknowledgedSequence());
    if (!differs) {
      if (confirming) {
        view.confirm();
      }
      return;
    }
    boolean nonNeighbour = recentAck && !neighbours.contains(id);
    if (confirming || nonNeighbour || mismatches >= MISMATCHES_BEFORE_SYNC) {
      sync.request(id, nowNanos);
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

  /**
   * Publishes a new roster if it has changed: at once if members or their states have changed, at
   * intervals if only limits of targets have.
   */
  private void publish(long nowNanos) {
    boolean urgent =
        routingChanged
            || publishedRevision != table.revision()
            || publishedConfirmed != view.isConfirmed();
    boolean limitsDue = limitChanged && nowNanos - publishedAtNanos >= LIMIT_PUBLISH_INTERVAL_NANOS;
    if (!urgent && !limitsDue) {
      return;
    }
    routingChanged = false;
    limitChanged = false;
    publishedRevision = table.revision();
    publishedConfirmed = view.isConfirmed();
    publishedAtNanos = nowNanos;
    roster = Roster.of(self.id(), publishableMembers());
    effects.emit(new Effect.RaiseEvent(new Event.RosterChanged(roster)));
  }

  private List<Member> publishableMembers() {
    return table.live().stream()
        .filter(e -> e == table.own() || isPublishable(e))
        .map(MemberEntry::member)
        .toList();
  }

  private boolean isPublishable(MemberEntry e) {
    return !e.isUnreachable() && (view.isConfirmed() || e.isConfirmedIn(view.epoch()));
  }
}
