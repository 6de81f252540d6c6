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
import org.pomelohollow.decision.Effects;
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
 * Keeps the roster of live members.
 *
 * <p>Every daemon exchanges heartbeats with a few neighbours ({@link Rings}), suspects one that
 * falls silent, and declares it dead if it doesn't refute the suspicion. Changes are passed on from
 * neighbour to neighbour at once; digests in the heartbeats find what was lost on the way. The
 * roster steers routing only: nothing that must hold depends on it.
 */
public final class MembershipController implements Controller {
  private static final String PART = "members";
  private static final long HEARTBEAT_NANOS = 400_000_000L;
  private static final long CONTACT_NANOS = 1_000_000_000L;
  private static final long ANSWER_NANOS = 2_000_000_000L;
  private static final long LOAD_NANOS = 1_000_000_000L;
  private static final int MISMATCHES_BEFORE_SYNC = 2;
  private static final int RANDOM_PROBES = 3;

  private final Member self;
  private final ConfigController config;
  private final RandomGenerator random;
  private final Effects effects;
  private final MemberTable table;
  private final NeighbourMonitor neighbours = new NeighbourMonitor();
  private final Reachability reachability = new Reachability();
  private final RumourQueue rumours = new RumourQueue();
  private final Freshness freshness = new Freshness();
  private final SentTimes sent = new SentTimes();
  private final RosterSync sync;
  private final LogPresence presence;
  private final Contacts contacts;
  private final DuplicateNames duplicates;

  private Optional<TargetState> target = Optional.empty();
  private boolean leaving;
  private boolean started;
  private long configVersionSent;
  private long nextHeartbeatNanos;
  private long nextContactNanos;
  private long neighboursOf = -1;
  private int neighbourWidth;

  private Roster roster;
  private boolean routingChanged;
  private boolean loadChanged;
  private boolean publishedFresh;
  private long publishedChanges = -1;
  private long publishedAtNanos;

  /**
   * Creates a controller that knows only itself.
   *
   * @param self this daemon
   * @param seeds addresses of peers to try besides those that the log tells of
   * @param config told of the versions of peers
   * @param random source of random choices
   * @param effects takes what the controller asks for
   */
  public MembershipController(
      Member self,
      List<Endpoint> seeds,
      ConfigController config,
      RandomGenerator random,
      Effects effects) {
    this.self = self;
    this.config = config;
    this.random = random;
    this.effects = effects;
    this.table = new MemberTable(self);
    this.sync = new RosterSync(table, rumours, freshness, this::send);
    this.presence = new LogPresence(self, random, effects);
    this.contacts = new Contacts(seeds, random);
    this.duplicates = new DuplicateNames(self.id(), effects);
    this.roster = Roster.of(self.id(), List.of(self));
  }

  /** Returns the present view of the live members. */
  public Roster roster() {
    return roster;
  }

  /**
   * Finds the address of a member's peer link, live or not.
   *
   * @param id identity of the member
   * @return the address, if the member is known
   */
  public Optional<Endpoint> addressOf(MemberId id) {
    return table
        .find(id)
        .map(MemberEntry::member)
        .or(() -> table.findDead(id).map(Tombstone::member))
        .map(Member::peer);
  }

  /**
   * Sets what this daemon tells of its target.
   *
   * @param state the target's state, empty without a target
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void setTarget(Optional<TargetState> state, long nowNanos) {
    if (target.equals(state)) {
      return;
    }
    boolean onlyLoad = withoutLimit(target).equals(withoutLimit(state));
    target = state;
    if (onlyLoad) {
      loadChanged |= table.own().refresh(me());
    } else {
      announceSelf(0);
    }
    publish(nowNanos);
  }

  /**
   * Notes that routing chose a member, whose reachability from here is then watched for a while.
   *
   * @param member the member
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void used(MemberId member, long nowNanos) {
    if (!member.equals(self.id())) {
      reachability.used(member, nowNanos);
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
      receive(m.from(), m.message(), nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.MEMBERS) {
      read(r, nowNanos);
    } else if (event instanceof Event.AppendEnded a) {
      presence.ended(a, nowNanos);
    } else if (event instanceof Event.LinkLost l) {
      linkLost(l.peer(), nowNanos);
    } else if (event instanceof Event.LinkUp l) {
      table
          .find(l.peer())
          .filter(MemberEntry::isUnreachable)
          .ifPresent(e -> probe(e.id(), nowNanos));
    } else if (event instanceof Event.Resumed) {
      resume(nowNanos);
    } else if (event instanceof Event.Stopping) {
      leave(nowNanos);
    }
    publish(nowNanos);
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b =
        StateDump.of(PART)
            .line("self", me())
            .line("version", table.own().version())
            .line("joined", presence.isJoined())
            .line("view confirmed", freshness.isFresh())
            .line("live", table.live().size())
            .line("neighbours", neighbours.ids());
    table.live().stream()
        .filter(e -> e.isSuspected() || e.isUnreachable())
        .forEach(e -> b.line(e.id().toString(), e.isSuspected() ? "suspected" : "unreachable"));
    table
        .dead()
        .forEach(
            t ->
                b.line(
                    t.id().toString(),
                    "dead for " + TimeUnit.NANOSECONDS.toMillis(nowNanos - t.atNanos()) + " ms"));
    return b.build();
  }

  private void start(long nowNanos) {
    started = true;
    freshness.lose(sent.upcoming(), nowNanos);
    nextHeartbeatNanos = nowNanos + random.nextLong(HEARTBEAT_NANOS);
    nextContactNanos = nowNanos;
    publishedAtNanos = nowNanos;
  }

  private Member me() {
    return new Member(self.id(), self.peer(), self.zone(), target, leaving);
  }

  private static Optional<TargetState> withoutLimit(Optional<TargetState> state) {
    return state.map(t -> new TargetState(t.service(), t.slots(), 0, t.cold(), t.draining()));
  }

  private void tick(long nowNanos) {
    table.expire(nowNanos);
    chooseNeighbours(nowNanos);
    neighbours.tick(nowNanos, id -> probe(id, nowNanos), id -> suspect(id, nowNanos));
    reachability.tick(
        nowNanos,
        id -> table.find(id).isPresent(),
        id -> probe(id, nowNanos),
        id -> setUnreachable(id, nowNanos));
    if (freshness.isFresh() && neighbours.isIsolated(nowNanos)) {
      freshness.lose(sent.upcoming(), nowNanos);
    }
    if (freshness.tick(nowNanos)) {
      probeForFreshness(nowNanos);
    }
    contact(nowNanos);
    presence.tick(nowNanos);
    if (nowNanos - nextHeartbeatNanos >= 0 || config.version() != configVersionSent) {
      nextHeartbeatNanos = nowNanos + HEARTBEAT_NANOS;
      sendHeartbeats(nowNanos);
    }
    rumours.flush(neighbours.ids(), this::send);
  }

  private void chooseNeighbours(long nowNanos) {
    if (neighboursOf != table.generation() || neighbourWidth != neighbours.width()) {
      neighboursOf = table.generation();
      neighbourWidth = neighbours.width();
      neighbours.replace(Rings.neighbours(table.own(), table.live(), neighbourWidth), nowNanos);
    }
  }

  private void suspect(MemberId id, long nowNanos) {
    setUnreachable(id, nowNanos);
    reachability.lost(id, nowNanos);
    Suspicion s = new Suspicion(id, table.find(id).map(MemberEntry::version).orElse(0L));
    if (table.suspect(s, nowNanos)) {
      rumours.add(s);
    }
  }

  private void setUnreachable(MemberId id, long nowNanos) {
    table.find(id).ifPresent(e -> routingChanged |= e.lose(nowNanos));
  }

  private void linkLost(MemberId id, long nowNanos) {
    setUnreachable(id, nowNanos);
    reachability.lost(id, nowNanos);
    neighbours.linkLost(id, nowNanos);
  }

  private void leave(long nowNanos) {
    if (!leaving) {
      leaving = true;
      announceSelf(0);
      chooseNeighbours(nowNanos);
      rumours.flush(neighbours.ids(), this::send);
      presence.leave(nowNanos);
    }
  }

  private void resume(long nowNanos) {
    freshness.lose(sent.upcoming(), nowNanos);
    neighbours.restart(nowNanos);
    reachability.restart(nowNanos);
    table.restartSuspicions(nowNanos);
    announceSelf(0);
    routingChanged = true;
  }

  private void announceSelf(long aboveVersion) {
    rumours.add(table.describeSelf(me(), aboveVersion));
  }

  private void probeForFreshness(long nowNanos) {
    Set<MemberId> ids = new HashSet<>(neighbours.ids());
    List<MemberEntry> all = new ArrayList<>(table.live());
    for (int i = 0; i < RANDOM_PROBES; i++) {
      ids.add(all.get(random.nextInt(all.size())).id());
    }
    ids.remove(self.id());
    ids.forEach(id -> probe(id, nowNanos));
  }

  private void contact(long nowNanos) {
    if (nowNanos - nextContactNanos < 0) {
      return;
    }
    nextContactNanos = nowNanos + CONTACT_NANOS;
    contacts
        .choose(table, nowNanos)
        .ifPresent(a -> effects.emit(new Effect.SendToAddress(a, heartbeat(0, true, nowNanos))));
  }

  private void sendHeartbeats(long nowNanos) {
    configVersionSent = config.version();
    neighbours.ids().forEach(id -> send(id, heartbeat(id, false, nowNanos)));
  }

  private Heartbeat heartbeat(MemberId to, boolean asksAnswer, long nowNanos) {
    return heartbeat(table.find(to).map(MemberEntry::sequence).orElse(0L), asksAnswer, nowNanos);
  }

  private Heartbeat heartbeat(long answerTo, boolean asksAnswer, long nowNanos) {
    return new Heartbeat(
        table.own().member(),
        table.own().version(),
        sent.next(nowNanos),
        config.version(),
        freshness.isFresh() ? table.digest().total() : 0,
        config.configAgeMillis(nowNanos),
        asksAnswer,
        answerTo);
  }

  private void probe(MemberId id, long nowNanos) {
    send(id, heartbeat(id, true, nowNanos));
  }

  private void send(MemberId id, PeerMessage m) {
    effects.emit(new Effect.Send(id, m));
  }

  /** Sends to a member that the process around this one may not know yet. */
  private void reply(Member to, PeerMessage m) {
    if (roster.find(to.id()).isPresent()) {
      send(to.id(), m);
    } else {
      effects.emit(new Effect.SendToAddress(to.peer(), m));
    }
  }

  private void receive(MemberId from, PeerMessage message, long nowNanos) {
    if (message instanceof Heartbeat h && h.member().id().equals(from)) {
      receive(h, nowNanos);
    } else if (message instanceof Rumours r && r.answerTo() != 0) {
      sync.take(r, nowNanos);
    } else if (message instanceof Rumours r) {
      receive(from, r, nowNanos);
    } else if (message instanceof SyncRequest r) {
      sync.answer(from, r, nowNanos);
    }
  }

  private void receive(Heartbeat h, long nowNanos) {
    MemberId id = h.member().id();
    duplicates.heard(h.member(), table.isReplaced(id), nowNanos);
    if (id.host().equals(self.id().host()) || table.isReplaced(id)) {
      return;
    }
    OptionalLong age = sent.age(h.answerTo(), nowNanos);
    boolean answer = age.isPresent() && age.getAsLong() < ANSWER_NANOS;
    RosterEntry r = new RosterEntry(h.member(), h.version());
    if (table.accept(r)) {
      rumours.add(r);
    }
    rumours.knows(id, r);
    table.findDead(id).ifPresent(t -> hearDead(t, h, answer, nowNanos));
    table.find(id).ifPresent(e -> hearLive(e, h, answer, nowNanos));
    if (h.asksAnswer()) {
      reply(h.member(), heartbeat(h.sequence(), false, nowNanos));
    }
    config.observePeerVersion(id, h.configVersion());
    age.ifPresent(a -> hearFreshness(h, a, nowNanos));
    compare(h, answer, nowNanos);
  }

  private void hearFreshness(Heartbeat h, long ageNanos, long nowNanos) {
    long ageMillis = h.freshnessAgeMillis() + TimeUnit.NANOSECONDS.toMillis(ageNanos);
    config.observePeerFreshness(h.member().id(), h.configVersion(), ageMillis, nowNanos);
  }

  private void hearLive(MemberEntry e, Heartbeat h, boolean answer, long nowNanos) {
    if (e.advance(h.sequence())) {
      neighbours.heard(e.id(), nowNanos);
      loadChanged |= h.version() == e.version() && e.refresh(h.member());
    }
    if (!answer) {
      return;
    }
    long sentAtNanos = nowNanos - sent.age(h.answerTo(), nowNanos).orElseThrow();
    reachability.answered(e.id(), sentAtNanos);
    routingChanged |= e.reach(sentAtNanos);
    if (freshness.answered(h.answerTo())) {
      routingChanged |= !freshness.isFresh() && !e.isVouchedIn(freshness.epoch());
      e.vouch(freshness.epoch());
    }
  }

  /** Brings back a member that answers, and asks one that merely speaks: it may be a late word. */
  private void hearDead(Tombstone t, Heartbeat h, boolean answer, long nowNanos) {
    if (t.member().leaving()) {
      return;
    }
    if (answer) {
      table.revive(new RosterEntry(h.member(), h.version()));
    } else {
      reply(h.member(), heartbeat(h.sequence(), true, nowNanos));
    }
    if (nowNanos - t.atNanos() < t.holdNanos()) {
      List<Suspicion> s = List.of(new Suspicion(t.id(), t.version()));
      reply(h.member(), new Rumours(List.of(), s, 0, 0));
    }
  }

  /** Compares rosters; asks at once if a stranger's differs, later if a neighbour's does. */
  private void compare(Heartbeat h, boolean answer, long nowNanos) {
    MemberId id = h.member().id();
    if (h.rosterDigest() == 0 || table.find(id).isEmpty()) {
      return;
    }
    boolean differs = h.rosterDigest() != table.digest().total();
    int mismatches = neighbours.countMismatch(id, differs);
    boolean confirming = !freshness.isFresh() && answer && freshness.answered(h.answerTo());
    if (!differs) {
      if (confirming) {
        freshness.confirm();
      }
      return;
    }
    boolean stranger = answer && !neighbours.contains(id);
    if (confirming || stranger || mismatches >= MISMATCHES_BEFORE_SYNC) {
      sync.request(id, nowNanos);
    }
  }

  private void receive(MemberId from, Rumours r, long nowNanos) {
    for (RosterEntry e : r.entries()) {
      duplicates.told(e.member().id());
      if (table.accept(e)) {
        rumours.add(e);
        table.find(e.member().id()).ifPresent(m -> m.vouch(freshness.epoch()));
      }
      rumours.knows(from, e);
    }
    for (Suspicion s : r.suspicions()) {
      if (s.member().equals(self.id())) {
        refute(s);
      } else if (table.suspect(s, nowNanos)) {
        rumours.add(s);
      }
      rumours.knows(from, s);
    }
  }

  private void refute(Suspicion s) {
    if (s.version() >= table.own().version()) {
      announceSelf(s.version());
    }
  }

  private void read(Event.LogRead r, long nowNanos) {
    contacts.read(r);
    presence.read(r, nowNanos);
    for (StoredEntry e : r.entries()) {
      if (e.entry().orElse(null) instanceof MemberJoined j) {
        duplicates.told(j.member());
      }
    }
  }

  /** Raises a new roster if routing has to know, at once for changes of members, else bundled. */
  private void publish(long nowNanos) {
    boolean urgent =
        routingChanged
            || publishedChanges != table.changes()
            || publishedFresh != freshness.isFresh();
    boolean bundled = loadChanged && nowNanos - publishedAtNanos >= LOAD_NANOS;
    if (!urgent && !bundled) {
      return;
    }
    routingChanged = false;
    loadChanged = false;
    publishedChanges = table.changes();
    publishedFresh = freshness.isFresh();
    publishedAtNanos = nowNanos;
    roster = Roster.of(self.id(), visible());
    effects.emit(new Effect.Raise(new Event.RosterChanged(roster)));
  }

  private List<Member> visible() {
    return table.live().stream()
        .filter(e -> e == table.own() || isVisible(e))
        .map(MemberEntry::member)
        .toList();
  }

  private boolean isVisible(MemberEntry e) {
    return !e.isUnreachable() && (freshness.isFresh() || e.isVouchedIn(freshness.epoch()));
  }
}
