package org.pomelohollow.decision.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
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
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/**
 * Load balancer: chooses the member to whose target an attempt is sent.
 *
 * <p>Chooses the better of two random members (Mitzenmacher, 1996) of the own availability zone. If
 * that one is busy, a {@link ZonePolicy} decides between it and the better of two random members of
 * another zone. The cost of a member is its utilization times its latency, or its expected time to
 * completion where targets report how slow their hosts are. The utilization is the number of its
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
  private final ZonePolicy zonePolicy;
  private final CrossingListener crossings;
  private Optional<Roster> roster = Optional.empty();
  private Optional<Document> document = Optional.empty();
  private TrafficSplit trafficSplit = TrafficSplit.NONE;

  /**
   * Creates a router without members.
   *
   * @param random source of the random choices
   * @param zonePolicy decides which requests leave the own zone
   * @param crossings notified of attempts that are sent to other zones
   */
  public Router(RandomGenerator random, ZonePolicy zonePolicy, CrossingListener crossings) {
    this.random = random;
    this.zonePolicy = zonePolicy;
    this.crossings = crossings;
  }

  /**
   * Creates a router without members.
   *
   * @param random source of the random choices
   * @param spill decides which requests leave the own zone, and counts them
   */
  public Router(RandomGenerator random, ZoneSpill spill) {
    this(random, spill, spill::recordSentOutside);
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
    return choose(service, tried, 0, nowNanos);
  }

  /**
   * Chooses a member that was not tried before.
   *
   * @param service service that is called
   * @param tried members that earlier attempts of the request were sent to
   * @param bodyBytes length of the request body in bytes, 0 if unknown
   * @param nowNanos current monotonic time, in nanoseconds
   * @return a member, or empty if all members of the service were tried
   */
  public Optional<MemberId> choose(
      ServiceId service, Set<MemberId> tried, long bodyBytes, long nowNanos) {
    Call call = new Call(service, bodyBytes, !tried.isEmpty());
    Optional<TrafficSplit.Groups> groups =
        trafficSplit.split(service, servingMembers(service), call.retry(), nowNanos);
    return groups
        .map(g -> best(call, g, tried, nowNanos))
        .orElseGet(() -> best(call, candidates(service), tried, nowNanos))
        .map(Member::id);
  }

  /** Chooses from the preferred group, or from the other one if it has nobody or no free slot. */
  private Optional<Member> best(
      Call call, TrafficSplit.Groups g, Set<MemberId> tried, long nowNanos) {
    Optional<Member> first = best(call, candidates(g.preferred()), tried, nowNanos);
    boolean full = first.filter(m -> utilization(m, nowNanos) > FULL_UTILIZATION).isPresent();
    if (first.isPresent() && !(g.spills() && full)) {
      return first;
    }
    return best(call, candidates(g.otherwise()), tried, nowNanos).or(() -> first);
  }

  private Optional<Member> best(Call call, Candidates all, Set<MemberId> tried, long nowNanos) {
    Candidates untried = tried.isEmpty() ? all : all.filter(m -> !tried.contains(m.id()));
    Candidates healthy = untried.filter(m -> !stats(m).isEjected(nowNanos));
    if (zonePolicy.isDue(call.service(), nowNanos)) {
      updateZonePolicy(call.service(), all, nowNanos);
    }
    return best(call, healthy.isEmpty() ? untried : healthy, nowNanos);
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
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void attemptStarted(MemberId member, long nowNanos) {
    statsByMember.computeIfAbsent(member, k -> new MemberStats()).attemptStarted();
    Optional<Member> to = roster.flatMap(r -> r.find(member));
    if (ownZone().isPresent() && !to.map(Member::zone).equals(ownZone())) {
      to.flatMap(Member::target).ifPresent(t -> crossings.sentOutside(t.service(), nowNanos));
    }
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

  private Optional<Member> best(Call call, Candidates c, long nowNanos) {
    Optional<Member> first = betterOfTwo(c.sameZone(), nowNanos);
    if (first.filter(m -> !isBusy(call, m, nowNanos)).isPresent()) {
      return first;
    }
    Optional<Member> second = betterOfTwo(candidatesOutside(call, c), nowNanos);
    if (first.isEmpty() || second.isEmpty()) {
      return first.or(() -> second);
    }
    boolean bestInOwnZone = c.sameZone().size() <= 2;
    ZonePolicy.Choice choice = choice(call, first.get(), second.get(), bestInOwnZone, nowNanos);
    return zonePolicy.leaves(choice) ? second : first;
  }

  private boolean isBusy(Call call, Member m, long nowNanos) {
    return utilization(m, nowNanos) > BUSY_UTILIZATION
        || (!stats(m).hasRecentLoad(nowNanos) && zonePolicy.isOwnZoneBusy(call.service()));
  }

  private List<Member> candidatesOutside(Call call, Candidates c) {
    Optional<ZoneId> zone =
        c.sameZone().isEmpty() ? Optional.empty() : zonePolicy.chooseZone(call.service());
    List<Member> inZone =
        zone.map(z -> c.otherZones().stream().filter(m -> m.zone().equals(z)).toList())
            .orElse(List.of());
    return inZone.isEmpty() ? c.otherZones() : inZone;
  }

  private ZonePolicy.Choice choice(
      Call call, Member own, Member other, boolean bestInOwnZone, long nowNanos) {
    double ownNanos = completionNanos(own, nowNanos);
    double otherNanos = completionNanos(other, nowNanos);
    boolean known = ownNanos > 0 && otherNanos > 0;
    double knownNanos = Math.max(ownNanos, otherNanos);
    return new ZonePolicy.Choice(
        call.service(),
        pick(own, known ? ownNanos : knownNanos, nowNanos),
        pick(other, known ? otherNanos : knownNanos, nowNanos),
        bestInOwnZone,
        call.bodyBytes(),
        call.retry());
  }

  private ZonePolicy.Pick pick(Member m, double completionNanos, long nowNanos) {
    return new ZonePolicy.Pick(
        utilization(m, nowNanos),
        weightedNextUtilization(m, nowNanos),
        completionNanos,
        stats(m).hasRecentLoad(nowNanos));
  }

  /**
   * Returns the expected time to completion of one more request at a member, in nanoseconds; 0 if
   * its latency is unknown.
   */
  private double completionNanos(Member m, long nowNanos) {
    return stats(m).latencyNanos() * Math.max(1, stats(m).nextUtilization(m, nowNanos));
  }

  private void updateZonePolicy(ServiceId service, Candidates c, long nowNanos) {
    if (c.sameZone().isEmpty() || c.otherZones().isEmpty()) {
      return;
    }
    Map<ZoneId, List<Member>> others =
        c.otherZones().stream()
            .collect(Collectors.groupingBy(Member::zone, TreeMap::new, Collectors.toList()));
    zonePolicy.update(
        service,
        zoneLoad(c.sameZone(), nowNanos),
        others.values().stream().map(l -> zoneLoad(l, nowNanos)).toList(),
        nowNanos);
  }

  private ZonePolicy.ZoneLoad zoneLoad(List<Member> members, long nowNanos) {
    List<Member> usable = members.stream().filter(m -> !stats(m).isEjected(nowNanos)).toList();
    List<Member> reported = usable.stream().filter(m -> stats(m).hasRecentLoad(nowNanos)).toList();
    return new ZonePolicy.ZoneLoad(
        members.get(0).zone(),
        usable.stream().mapToInt(m -> m.target().map(TargetState::limit).orElse(0)).sum(),
        utilization(reported, nowNanos),
        mean(
            reported.stream().filter(m -> stats(m).latencyNanos() > 0).toList(),
            m -> completionNanos(m, nowNanos)),
        !reported.isEmpty());
  }

  /**
   * Returns the mean utilization, weighted by the limits: a target whose limit is small, since
   * foreign requests take its slots or it is cold, does not make its zone look full.
   */
  private double utilization(List<Member> l, long nowNanos) {
    double slots = l.stream().mapToDouble(m -> stats(m).limit(m, nowNanos)).sum();
    return l.stream()
        .mapToDouble(m -> utilization(m, nowNanos) * stats(m).limit(m, nowNanos) / slots)
        .sum();
  }

  private static double mean(List<Member> l, ToDoubleFunction<Member> value) {
    return l.stream().mapToDouble(value).average().orElse(0);
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
    if (stats(first).hasSlowdown(nowNanos) || stats(second).hasSlowdown(nowNanos)) {
      return soonerDone(first, second, nowNanos);
    }
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

  /** Returns the member that is expected to complete a request sooner. */
  private Member soonerDone(Member first, Member second, long nowNanos) {
    return completionCost(first, second, nowNanos) <= completionCost(second, first, nowNanos)
        ? first
        : second;
  }

  private double completionCost(Member m, Member other, long nowNanos) {
    return stats(m).expectedCompletionNanos(m, stats(other), nowNanos)
        / zoneRampUp.weight(m.zone(), nowNanos);
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

  /** Notified of attempts that are sent to other zones. */
  @FunctionalInterface
  public interface CrossingListener {
    /**
     * An attempt was sent to another zone.
     *
     * @param service service that is called
     * @param nowNanos current monotonic time, in nanoseconds
     */
    void sentOutside(ServiceId service, long nowNanos);
  }

  /** A request for which a member is chosen. */
  private record Call(ServiceId service, long bodyBytes, boolean retry) {}
}
