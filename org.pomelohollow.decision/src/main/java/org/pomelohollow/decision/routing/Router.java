package org.pomelohollow.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.Document;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;

/** Chooses the member whose target gets an attempt, by two random choices. */
public final class Router implements Controller {
  private static final String PART = "routing";

  private final RandomGenerator random;
  private final Map<MemberId, Peer> peers = new HashMap<>();
  private Optional<Roster> roster = Optional.empty();
  private Optional<Document> document = Optional.empty();

  /**
   * Creates a router that knows no members.
   *
   * @param random source of the random choices
   */
  public Router(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Chooses a member.
   *
   * @param service service that is called
   * @param tried members that earlier attempts of the request went to
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a member not tried before, if there is one
   */
  public Optional<MemberId> choose(ServiceId service, Set<MemberId> tried, long nowNanos) {
    List<Member> candidates =
        roster.map(r -> r.servingMembers(service)).orElse(List.of()).stream()
            .filter(m -> !tried.contains(m.id()) && isInService(m))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    MemberId a = pick(candidates);
    MemberId b = pick(candidates);
    return Optional.of(cost(a) <= cost(b) ? a : b);
  }

  /**
   * Notes that an attempt went to a member.
   *
   * @param member the member
   */
  public void started(MemberId member) {
    peers.computeIfAbsent(member, k -> new Peer()).outstanding++;
  }

  /**
   * Notes that an attempt ended.
   *
   * @param member the member
   * @param result what was seen of it
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void ended(MemberId member, AttemptResult result, long nowNanos) {
    Peer p = peers.get(member);
    if (p != null) {
      p.outstanding--;
      result.load().ifPresent(l -> p.load = l);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.RosterChanged r) {
      roster = Optional.of(r.roster());
      peers
          .entrySet()
          .removeIf(e -> e.getValue().outstanding == 0 && r.roster().find(e.getKey()).isEmpty());
    } else if (event instanceof Event.ConfigInForce c) {
      document = Optional.of(c.configuration().document());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    peers.forEach((id, p) -> b.line(id.toString(), p.outstanding + " outstanding, " + p.load));
    return b.build();
  }

  private boolean isInService(Member m) {
    return document.filter(d -> d.isInService(m.zone())).isPresent();
  }

  private MemberId pick(List<Member> candidates) {
    return candidates.get(random.nextInt(candidates.size())).id();
  }

  private double cost(MemberId id) {
    Peer p = peers.get(id);
    return p == null ? 0 : p.outstanding + p.load.utilization();
  }

  private static final class Peer {
    private int outstanding;
    private TargetLoad load = TargetLoad.UNKNOWN;
  }
}
