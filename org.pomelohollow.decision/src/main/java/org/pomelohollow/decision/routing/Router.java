package org.pomelohollow.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
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
 * Load balancer: chooses the member to whose target an attempt is sent.
 *
 * <p>Chooses the better of two random members (Mitzenmacher, 1996) of the own availability zone. If
 * that one is busy, it is compared with the better of two random members of the other zones. The
 * cost of a member is its utilization times its latency. The utilization is the number of its
 * requests over the limit that its daemon reports, so that a target in cold start gets few
 * requests. Members that fail several times in a row are ejected for a time, but never more than
 * half of them.
 */
public final class Router implements Controller {
  private static final String PART = "routing";

  /** Utilization of a member of the own zone above which other zones are considered. */
  private static final double BUSY_UTILIZATION = 0.7;

  /** Utilization above which a member of a group that spills gets no further requests. */
  private static final double FULL_UTILIZATION = 0.9;

  private final RandomGenerator random;
  private final Map<MemberId, MemberStats> statsByMember = new HashMap<>();
  private final Map<ServiceId, Candidates> candidates = new HashMap<>();
  private final ZoneRampUp zoneRampUp = new ZoneRampUp();
  private Optional<Roster> roster = Optional.empty();
  private Optional<Document> document = Optional.empty();
  private TrafficSplit trafficSplit = TrafficSplit.NONE;

  /**
   * Creates a router without members.
   *
   * @param random source of the random choices
   */
  public Router(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Sets how the requests of services are divided between groups of their members.
   *
   * @param split the division
   */
  public void setTrafficSplit(TrafficSplit split) {
    trafficSplit = split;
  }

  /**
   * Chooses a member that was not tried before.
   *
   * @param service service that is called
   * @param tried members that earlier attempts of the request were sent to
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a member, or empty if all members of the service were tried
   */
  public Optional<MemberId> choose(ServiceId service, Set<MemberId> tried, long nowNanos) {
    Optional<TrafficSplit.Groups> groups =
        trafficSplit.split(service, servingMembers(service), !tried.isEmpty(), nowNanos);
    return groups
        .map(g -> best(g, tried, nowNanos))
        .orElseGet(() -> best(candidates(service), tried, nowNanos))
        .map(Member::id);
  }

  /** Chooses from the preferred group, or from the other one if it has nobody or no free slot. */
  private Optional<Member> best(TrafficSplit.Groups g, Set<MemberId> tried, long nowNanos) {
    Optional<Member> first = best(candidates(g.preferred()), tried, nowNanos);
    boolean full = first.filter(m -> utilization(m, nowNanos) > FULL_UTILIZATION).isPresent();
    if (first.isPresent() && !(g.spills() && full)) {
      return first;
    }
    return best(candidates(g.otherwise()), tried, nowNanos).or(() -> first);
  }

  private Optional<Member> best(Candidates all, Set<MemberId> tried, long nowNanos) {
    Candidates untried = tried.isEmpty() ? all : all.filter(m -> !tried.contains(m.id()));
    Candidates healthy = untried.filter(m -> !stats(m).isEjected(nowNanos));
    return best(healthy.isEmpty() ? untried : healthy, nowNanos);
  }

  /**
   * Chooses a member, preferring those that were not tried before.
   *
   * @param service service that is called
   * @param tried members that earlier attempts of the request were sent to
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a member, or empty if the service has none
   */
  public Optional<MemberId> chooseAllowingTried(
      ServiceId service, Set<MemberId> tried, long nowNanos) {
    return choose(service, tried, nowNanos).or(() -> choose(service, Set.of(), nowNanos));
  }

  /**
   * Returns the least important priority that at least one member of a service admits.
   *
   * @param service the service
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the priority; {@link Priority#NONE_SHED} if a member has sent no recent load report
   */
  public Priority cutOff(ServiceId service, long nowNanos) {
    return settledMembers(service)
        .map(m -> stats(m).cutOff(nowNanos))
        .max(Priority::compareTo)
        .orElse(Priority.NONE_SHED);
  }

  /**
   * Records that an attempt was sent to a member.
   *
   * @param member the member
   */
  public void attemptStarted(MemberId member) {
    statsByMember.computeIfAbsent(member, k -> new MemberStats()).attemptStarted();
  }

  /**
   * Records the result of an attempt, and ejects the member if it has failed too often.
   *
   * @param member the member
   * @param result result of the attempt
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void attemptEnded(MemberId member, AttemptResult result, long nowNanos) {
    MemberStats memberStats = statsByMember.get(member);
    if (memberStats != null
        && memberStats.attemptEnded(result, nowNanos)
        && mayEject(member, nowNanos)) {
      memberStats.eject(nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.RosterChanged r) {
      roster = Optional.of(r.roster());
      candidates.clear();
      statsByMember
          .entrySet()
          .removeIf(e -> e.getValue().outstanding() == 0 && r.roster().find(e.getKey()).isEmpty());
    } else if (event instanceof Event.ConfigActivated c) {
      Document d = c.configuration().document();
      document.ifPresent(old -> zoneRampUp.update(old, d, nowNanos));
      document = Optional.of(d);
      candidates.clear();
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    statsByMember.forEach((id, s) -> b.line(id.toString(), s));
    return b.build();
  }

  /** Returns the members that get the requests of a service other than for a trial. */
  private Stream<Member> settledMembers(ServiceId service) {
    List<Member> serving = servingMembers(service);
    List<Member> settled = trafficSplit.settled(service, serving);
    return settled == serving ? candidates(service).stream() : candidates(settled).stream();
  }

  private List<Member> servingMembers(ServiceId service) {
    return roster.isPresent() ? roster.get().servingMembers(service) : List.of();
  }

  private Candidates candidates(ServiceId service) {
    return candidates.computeIfAbsent(service, s -> candidates(servingMembers(s)));
  }

  private Candidates candidates(List<Member> serving) {
    Optional<ZoneId> ownZone = ownZone();
    List<Member> inService = serving.stream().filter(this::isInService).toList();
    return Candidates.of(
        ownZone.map(z -> Subset.of(self(), z, inService)).orElse(inService), ownZone);
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
    Optional<Member> first = betterOfTwo(c.sameZone(), nowNanos);
    if (first.filter(m -> utilization(m, nowNanos) <= BUSY_UTILIZATION).isPresent()) {
      return first;
    }
    Optional<Member> second = betterOfTwo(c.otherZones(), nowNanos);
    if (first.isEmpty() || second.isEmpty()) {
      return first.or(() -> second);
    }
    return Optional.of(better(first.get(), second.get(), nowNanos));
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
    return stats(m).utilization(m, nowNanos) / zoneRampUp.weight(m.zone(), nowNanos);
  }

  /**
   * Returns the member with the lower cost. The latencies are ignored if one of them is unknown.
   */
  private Member better(Member first, Member second, long nowNanos) {
    double firstLatencyNanos = stats(first).latencyNanos();
    double secondLatencyNanos = stats(second).latencyNanos();
    double firstCost =
        weightedNextUtilization(first, nowNanos)
            * (firstLatencyNanos > 0 && secondLatencyNanos > 0 ? firstLatencyNanos : 1);
    double secondCost =
        weightedNextUtilization(second, nowNanos)
            * (firstLatencyNanos > 0 && secondLatencyNanos > 0 ? secondLatencyNanos : 1);
    return firstCost <= secondCost ? first : second;
  }

  private double weightedNextUtilization(Member m, long nowNanos) {
    return stats(m).nextUtilization(m, nowNanos) / zoneRampUp.weight(m.zone(), nowNanos);
  }

  private MemberStats stats(Member m) {
    return statsByMember.computeIfAbsent(m.id(), k -> new MemberStats());
  }

  private boolean mayEject(MemberId id, long nowNanos) {
    Optional<ServiceId> service =
        roster.flatMap(r -> r.find(id)).flatMap(Member::target).map(t -> t.service());
    List<Member> all = service.map(s -> candidates(s).stream().toList()).orElse(List.of());
    long ejected = all.stream().filter(m -> stats(m).isEjected(nowNanos)).count();
    return (ejected + 1) * 2 <= all.size();
  }
}
