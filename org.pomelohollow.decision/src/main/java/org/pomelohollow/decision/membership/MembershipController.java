package org.pomelohollow.decision.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Effects;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.TargetState;

/** Keeps the roster of live members. */
public final class MembershipController implements Controller {
  private static final String PART = "members";
  private static final long HEARTBEAT_NANOS = 500_000_000L;
  private static final long LIVENESS_NANOS = 2_000_000_000L;
  private static final long JOIN_RETRY_NANOS = 2_000_000_000L;

  private final Member self;
  private final List<Endpoint> seeds;
  private final ConfigController config;
  private final Effects effects;
  private final Map<MemberId, Heard> heard = new HashMap<>();
  private Optional<TargetState> target = Optional.empty();
  private boolean leaving;
  private boolean joined;
  private long sequence;
  private long nextHeartbeatNanos = Long.MIN_VALUE;
  private long nextJoinNanos = Long.MIN_VALUE;
  private Roster roster;

  /**
   * Creates a controller that knows only itself.
   *
   * @param self this daemon
   * @param seeds addresses of peers to try before the log has told of any
   * @param config told of the versions of peers
   * @param effects takes what the controller asks for
   */
  public MembershipController(
      Member self, List<Endpoint> seeds, ConfigController config, Effects effects) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.config = config;
    this.effects = effects;
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
    return Optional.ofNullable(heard.get(id)).map(h -> h.member.peer());
  }

  /**
   * Sets what this daemon tells of its target.
   *
   * @param state the target's state, empty without a target
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void setTarget(Optional<TargetState> state, long nowNanos) {
    if (!target.equals(state)) {
      target = state;
      nextHeartbeatNanos = nowNanos;
      refresh(nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tick(nowNanos);
    } else if (event instanceof Event.MessageReceived m && m.message() instanceof Heartbeat h) {
      receive(h, nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.MEMBERS) {
      r.entries().forEach(e -> read(e, nowNanos));
    } else if (event instanceof Event.AppendEnded a && a.appendId() == self.id().incarnation()) {
      joined = a.outcome() == Event.AppendOutcome.APPENDED;
    } else if (event instanceof Event.Stopping) {
      leaving = true;
      nextHeartbeatNanos = nowNanos;
      tick(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART).line("self", me()).line("joined", joined);
    heard.forEach(
        (id, h) ->
            b.line(
                id.toString(),
                h.member
                    + ", silent for "
                    + TimeUnit.NANOSECONDS.toMillis(nowNanos - h.atNanos)
                    + " ms"));
    return b.build();
  }

  private Member me() {
    return new Member(self.id(), self.peer(), self.zone(), target, leaving);
  }

  private void tick(long nowNanos) {
    if (!joined && nowNanos >= nextJoinNanos) {
      nextJoinNanos = nowNanos + JOIN_RETRY_NANOS;
      effects.emit(
          new Effect.Append(
              self.id().incarnation(),
              LogStream.MEMBERS,
              new MemberJoined(self.id(), self.peer(), self.zone())));
    }
    if (nowNanos >= nextHeartbeatNanos) {
      nextHeartbeatNanos = nowNanos + HEARTBEAT_NANOS;
      beat();
    }
    refresh(nowNanos);
  }

  private void beat() {
    Heartbeat h = new Heartbeat(me(), ++sequence, config.version());
    heard.keySet().forEach(id -> effects.emit(new Effect.Send(id, h)));
    if (heard.isEmpty()) {
      seeds.forEach(s -> effects.emit(new Effect.SendToAddress(s, h)));
    }
  }

  private void receive(Heartbeat h, long nowNanos) {
    MemberId id = h.member().id();
    Heard old = heard.get(id);
    if (id.equals(self.id()) || (old != null && old.sequence >= h.sequence())) {
      return;
    }
    heard.keySet().removeIf(id::replaces);
    heard.put(id, new Heard(h.member(), h.sequence(), nowNanos, true));
    config.hearVersion(id, h.configVersion());
    refresh(nowNanos);
  }

  private void read(StoredEntry e, long nowNanos) {
    if (!(e.entry().orElse(null) instanceof MemberJoined j) || j.member().equals(self.id())) {
      return;
    }
    if (heard.keySet().stream().anyMatch(id -> id.replaces(j.member()))) {
      return;
    }
    Member m = new Member(j.member(), j.peer(), j.zone(), Optional.empty(), false);
    heard.keySet().removeIf(j.member()::replaces);
    heard.putIfAbsent(j.member(), new Heard(m, 0, nowNanos, false));
  }

  private void refresh(long nowNanos) {
    List<Member> live =
        new java.util.ArrayList<>(
            heard.values().stream()
                .filter(h -> h.confirmed && nowNanos - h.atNanos < LIVENESS_NANOS)
                .map(h -> h.member)
                .toList());
    live.add(me());
    Roster r = Roster.of(self.id(), live);
    if (!r.equals(roster)) {
      roster = r;
      effects.emit(new Effect.Raise(new Event.RosterChanged(r)));
    }
  }

  private record Heard(Member member, long sequence, long atNanos, boolean confirmed) {}
}
