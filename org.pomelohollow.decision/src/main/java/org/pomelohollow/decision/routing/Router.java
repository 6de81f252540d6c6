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
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Chooses the member whose target gets an attempt.
 *
 * <p>Takes the better of two random members (Mitzenmacher, 1996) of the own zone, and goes to
 * another zone if the own one is busy and busier. The measure is work at hand over the limit that
 * the member's daemon tells, so that a target in cold start gets little, times its latency. Members
 * that fail several times in a row are left out for a while, but never more than half of them.
 */
public final class Router implements Controller {
  private static final String PART = "routing";
  private static final double BUSY_UTILIZATION = 0.7;

  private final RandomGenerator random;
  private final Map<MemberId, Peer> peers = new HashMap<>();
  private final Map<ServiceId, Candidates> candidates = new HashMap<>();
  private final ZoneReturns returns = new ZoneReturns();
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
    Candidates all = candidates(service);
    Candidates untried = tried.isEmpty() ? all : all.filter(m -> !tried.contains(m.id()));
    Candidates healthy = untried.filter(m -> !peer(m).isEjected(nowNanos));
    return best(healthy.isEmpty() ? untried : healthy, nowNanos).map(Member::id);
  }

  /**
   * Chooses a member, one that was tried before if there is no other.
   *
   * @param service service that is called
   * @param tried members that earlier attempts of the request went to
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a member, if the service has any
   */
  public Optional<MemberId> chooseAgain(ServiceId service, Set<MemberId> tried, long nowNanos) {
    return choose(service, tried, nowNanos).or(() -> choose(service, Set.of(), nowNanos));
  }

  /**
   * Returns the least important priority that some member of a service admits.
   *
   * @param service the service
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the priority; {@link Priority#NONE_SHED} if of some member nothing is known of late
   */
  public Priority cutOff(ServiceId service, long nowNanos) {
    return candidates(service).stream()
        .map(m -> peer(m).cutOff(nowNanos))
        .max(Priority::compareTo)
        .orElse(Priority.NONE_SHED);
  }

  /**
   * Notes that an attempt went to a member.
   *
   * @param member the member
   */
  public void started(MemberId member) {
    peers.computeIfAbsent(member, k -> new Peer()).started();
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
    if (p != null && p.ended(result, nowNanos) && mayEject(member, nowNanos)) {
      p.eject(nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.RosterChanged r) {
      roster = Optional.of(r.roster());
      candidates.clear();
      peers
          .entrySet()
          .removeIf(e -> e.getValue().outstanding() == 0 && r.roster().find(e.getKey()).isEmpty());
    } else if (event instanceof Event.ConfigActivated c) {
      Document d = c.configuration().document();
      document.ifPresent(old -> returns.change(old, d, nowNanos));
      document = Optional.of(d);
      candidates.clear();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    peers.forEach((id, p) -> b.line(id.toString(), p));
    return b.build();
  }

  private Candidates candidates(ServiceId service) {
    return candidates.computeIfAbsent(
        service,
        s -> {
          Optional<ZoneId> own = ownZone();
          List<Member> inService =
              roster
                  .map(r -> r.servingMembers(s).stream().filter(this::isInService).toList())
                  .orElse(List.of());
          return Candidates.of(
              own.map(z -> Subset.of(self(), z, inService)).orElse(inService), own);
        });
  }

  private MemberId self() {
    return roster.orElseThrow().self();
  }

  private Optional<ZoneId> ownZone() {
    return roster.flatMap(r -> r.find(r.self())).map(Member::zone);
  }

  private boolean isInService(Member m) {
    return document.filter(d -> d.isInService(m.zone())).isPresent();
  }

  private Optional<Member> best(Candidates c, long nowNanos) {
    Optional<Member> a = betterOfTwo(c.near(), nowNanos);
    if (a.filter(m -> utilization(m, nowNanos) <= BUSY_UTILIZATION).isPresent()) {
      return a;
    }
    Optional<Member> b = betterOfTwo(c.far(), nowNanos);
    if (a.isEmpty() || b.isEmpty()) {
      return a.or(() -> b);
    }
    return Optional.of(better(a.get(), b.get(), nowNanos));
  }

  private Optional<Member> betterOfTwo(List<Member> l, long nowNanos) {
    if (l.isEmpty()) {
      return Optional.empty();
    }
    int i = random.nextInt(l.size());
    int j = l.size() == 1 ? i : (i + 1 + random.nextInt(l.size() - 1)) % l.size();
    return Optional.of(better(l.get(i), l.get(j), nowNanos));
  }

  private double utilization(Member m, long nowNanos) {
    return peer(m).utilization(m, nowNanos) / returns.weight(m.zone(), nowNanos);
  }

  /**
   * Returns the better member; one whose latency is unknown is taken to be as fast as the other.
   */
  private Member better(Member a, Member b, long nowNanos) {
    double latencyA = peer(a).latencyNanos();
    double latencyB = peer(b).latencyNanos();
    double costA = weighted(a, nowNanos) * (latencyA > 0 && latencyB > 0 ? latencyA : 1);
    double costB = weighted(b, nowNanos) * (latencyA > 0 && latencyB > 0 ? latencyB : 1);
    return costA <= costB ? a : b;
  }

  private double weighted(Member m, long nowNanos) {
    return peer(m).nextUtilization(m, nowNanos) / returns.weight(m.zone(), nowNanos);
  }

  private Peer peer(Member m) {
    return peers.computeIfAbsent(m.id(), k -> new Peer());
  }

  private boolean mayEject(MemberId id, long nowNanos) {
    Optional<ServiceId> service =
        roster.flatMap(r -> r.find(id)).flatMap(Member::target).map(t -> t.service());
    List<Member> all = service.map(s -> candidates(s).stream().toList()).orElse(List.of());
    long ejected = all.stream().filter(m -> peer(m).isEjected(nowNanos)).count();
    return (ejected + 1) * 2 <= all.size();
  }
}
