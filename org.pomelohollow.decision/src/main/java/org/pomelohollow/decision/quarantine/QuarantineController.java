package org.pomelohollow.decision.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.routing.TrafficSplit;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/**
 * Finds requests that crash targets, by their fingerprints. A fingerprint is a suspect if it ran
 * when the connection to a target broke or the target crashed. A suspect runs on probation, on one
 * target at a time, until a request with it completes or its suspicion expires. After a bounded
 * number of crashes that coincide with it, it is in quarantine: all daemons refuse it. Daemons
 * inform each other of suspects by gossip.
 */
public final class QuarantineController implements Controller {
  private static final String PART = "quarantine";

  /**
   * Time after a request on probation lost its connection in which other requests that lose theirs
   * are not blamed. Also the time for which {@link #markSuspect} makes a fingerprint a suspect and,
   * unless a broken connection alone makes a suspect, the time after which a sign of life of the
   * target clears a request that lost its connection: an earlier one may have been sent before a
   * crash.
   */
  private static final long COINCIDENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Time within which a crash of the target is blamed on a request that lost its connection before,
   * if no sign of life clears it. At a quiet service the crash is noticed only when heartbeats fail
   * to come or the next incarnation announces itself.
   */
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** Shortest interval between gossip messages that broken connections cause. */
  private static final long GOSSIP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** Most suspects, and most cleared fingerprints, in one gossip message. */
  private static final int MAX_FINGERPRINTS_PER_MESSAGE = 256;

  private final MemberId self;
  private final QuarantineSettings settings;
  private final RandomGenerator random;
  private final EffectSink effects;
  private final SuspectTable suspects;
  private final Map<Long, Integer> runningCounts = new HashMap<>();
  private final Map<Long, Long> incarnationAtStart = new HashMap<>();
  private final Map<Long, Integer> probationCounts = new HashMap<>();
  private final Map<Long, Long> lastBreakNanos = new HashMap<>();
  private final Set<Long> suspectsToSend = new LinkedHashSet<>();
  private final Set<Long> clearedToSend = new LinkedHashSet<>();
  private Optional<Roster> roster = Optional.empty();
  private TrafficSplit trafficSplit = TrafficSplit.NONE;
  private Optional<String> instance = Optional.empty();
  private Optional<ServiceId> service = Optional.empty();
  private long currentIncarnation;

  /** Whether the target has announced itself or responded since the last tick. */
  private boolean targetAlive;

  private long lastGossipNanos;
  private Optional<Long> lastProbationBreakNanos = Optional.empty();

  /**
   * Creates a controller without suspects.
   *
   * @param self this daemon
   * @param settings limits and durations
   * @param random source of randomness for the choice of gossip peers
   * @param effects receives the gossip messages and log lines of the controller
   */
  public QuarantineController(
      MemberId self, QuarantineSettings settings, RandomGenerator random, EffectSink effects) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.effects = effects;
    this.suspects = new SuspectTable(settings.maxSuspects());
  }

  /** Returns this daemon. */
  public MemberId self() {
    return self;
  }

  /** Returns the limits and durations. */
  public QuarantineSettings settings() {
    return settings;
  }

  /**
   * Returns the time until a fingerprint leaves quarantine.
   *
   * @param fingerprint a fingerprint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the time in milliseconds, at least 1; empty if the fingerprint isn't in quarantine
   */
  public Optional<Long> remainingQuarantineMillis(long fingerprint, long nowNanos) {
    if (suspects.crashCount(fingerprint, nowNanos) < settings.maxCrashes()) {
      return Optional.empty();
    }
    long left = suspects.remainingNanos(fingerprint, nowNanos);
    return Optional.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)));
  }

  /**
   * Returns whether a fingerprint is a suspect.
   *
   * @param fingerprint a fingerprint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it may run on one target only, that of {@link #probationMember}
   */
  public boolean isSuspect(long fingerprint, long nowNanos) {
    return suspects.contains(fingerprint, nowNanos);
  }

  /**
   * Sets which members of a service may run suspects: a trial of some of them gets none.
   *
   * @param split division of the members
   */
  public void setTrafficSplit(TrafficSplit split) {
    trafficSplit = split;
  }

  /**
   * Returns the one member whose target may run a suspect: the first by rendezvous hashing among
   * those whose target hasn't crashed with it, or among all if every target has.
   *
   * @param fingerprint fingerprint of the suspect
   * @param id service that is called
   * @return the member, empty if no member serves the service
   */
  public Optional<MemberId> probationMember(long fingerprint, ServiceId id) {
    List<Member> all = roster.map(r -> r.servingMembers(id)).orElse(List.of());
    List<MemberId> serving = trafficSplit.settled(id, all).stream().map(Member::id).toList();
    Comparator<MemberId> order =
        Comparator.<MemberId, Boolean>comparing(m -> suspects.hasCrashed(fingerprint, m))
            .thenComparing(m -> StableHash.mix(fingerprint ^ StableHash.of(m.toString())));
    return serving.stream().min(order);
  }

  /**
   * Marks a fingerprint as a suspect for a short time at the entry daemon, after a target's daemon
   * has refused it as a suspect or an attempt was lost with a target. The next attempt then goes to
   * the one member that may run it. No crash is blamed on the fingerprint.
   *
   * <p>Unless a broken connection alone makes a suspect, only a known suspect is marked.
   *
   * @param fingerprint fingerprint of the request
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void markSuspect(long fingerprint, long nowNanos) {
    if (!settings.suspectOnBrokenConnection() && !suspects.contains(fingerprint, nowNanos)) {
      return;
    }
    suspects.add(fingerprint, Set.of(), nowNanos + COINCIDENCE_NANOS, nowNanos);
  }

  /**
   * Records that the target has started to run a request.
   *
   * @param fingerprint fingerprint of the request
   * @param onProbation whether it was admitted as a suspect
   */
  public void requestStarted(long fingerprint, boolean onProbation) {
    adjustCount(runningCounts, fingerprint, 1);
    incarnationAtStart.put(fingerprint, currentIncarnation);
    if (onProbation) {
      adjustCount(probationCounts, fingerprint, 1);
    }
  }

  /**
   * Records that a request has ended while the connection to the target held.
   *
   * @param fingerprint fingerprint of the request
   * @param onProbation whether it was admitted as a suspect
   * @param responded whether the target sent a response, which clears the fingerprint
   */
  public void requestEnded(long fingerprint, boolean onProbation, boolean responded) {
    removeRunning(fingerprint, onProbation);
    targetAlive |= responded;
    if (responded && suspects.remove(fingerprint)) {
      suspectsToSend.remove(fingerprint);
      clearedToSend.add(fingerprint);
    }
  }

  /**
   * Records that the connection to the target broke while a request ran. A request that ran beside
   * one on probation is not blamed.
   *
   * @param fingerprint fingerprint of the request
   * @param onProbation whether it was admitted as a suspect
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void connectionBroken(long fingerprint, boolean onProbation, long nowNanos) {
    boolean explainedByProbation = isExplainedByProbation(nowNanos);
    long incarnation = incarnationAtStart.getOrDefault(fingerprint, currentIncarnation);
    removeRunning(fingerprint, onProbation);
    if (onProbation) {
      lastProbationBreakNanos = Optional.of(nowNanos);
    } else if (explainedByProbation) {
      return;
    }
    lastBreakNanos.put(fingerprint, nowNanos);
    if (!settings.suspectOnBrokenConnection()) {
      return;
    }
    addCrash(fingerprint, incarnation, settings.suspectNanos(), nowNanos);
    if (nowNanos - lastGossipNanos >= GOSSIP_INTERVAL_NANOS) {
      sendGossip(nowNanos);
    }
  }

  /** Returns whether a request on probation runs or has just lost its connection to the target. */
  private boolean isExplainedByProbation(long nowNanos) {
    return !probationCounts.isEmpty()
        || lastProbationBreakNanos.filter(t -> nowNanos - t < COINCIDENCE_NANOS).isPresent();
  }

  /** Removes a request from the running ones. */
  private void removeRunning(long fingerprint, boolean onProbation) {
    adjustCount(runningCounts, fingerprint, -1);
    if (!runningCounts.containsKey(fingerprint)) {
      incarnationAtStart.remove(fingerprint);
    }
    if (onProbation) {
      adjustCount(probationCounts, fingerprint, -1);
    }
  }

  /** Adds to a count and removes a count of 0. */
  private static void adjustCount(Map<Long, Integer> counts, long fingerprint, int n) {
    counts.merge(fingerprint, n, (a, b) -> a + b == 0 ? null : a + b);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.RosterChanged r) {
      roster = Optional.of(r.roster());
    } else if (event instanceof Event.TargetAnnounced a) {
      handleAnnouncement(a.announcement().instance(), nowNanos);
      service = Optional.of(a.announcement().service());
    } else if (event instanceof Event.TargetLost) {
      handleCrash(nowNanos);
    } else if (event instanceof Event.MessageReceived m && m.message() instanceof SuspectsHeard h) {
      mergeGossip(h, nowNanos);
    } else if (event instanceof Event.Tick) {
      suspects.removeExpired(nowNanos);
      boolean clears = targetAlive && !settings.suspectOnBrokenConnection();
      long rememberedNanos = clears ? COINCIDENCE_NANOS : CONFIRMATION_NANOS;
      lastBreakNanos.values().removeIf(t -> nowNanos - t > rememberedNanos);
      targetAlive = false;
      sendGossip(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("suspects", suspects.size())
        .line("fingerprints at the target", runningCounts.size())
        .line("run of the target", currentIncarnation)
        .build();
  }

  /** Treats an announcement by another instance as a crash of the previous one. */
  private void handleAnnouncement(String newInstance, long nowNanos) {
    if (instance.filter(newInstance::equals).isPresent()) {
      targetAlive = true;
      return;
    }
    handleCrash(nowNanos);
    instance = Optional.of(newInstance);
  }

  /**
   * Blames the crash of the target on the requests that were running, or on those on probation only
   * if there are any, and on those whose connection broke shortly before. They stay suspects for
   * the quarantine time.
   */
  private void handleCrash(long nowNanos) {
    if (instance.isEmpty()) {
      return;
    }
    Set<Long> candidates = new HashSet<>(lastBreakNanos.keySet());
    candidates.addAll(
        isExplainedByProbation(nowNanos) ? probationCounts.keySet() : runningCounts.keySet());
    candidates.forEach(f -> addCrash(f, currentIncarnation, settings.quarantineNanos(), nowNanos));
    if (!candidates.isEmpty()) {
      effects.emit(
          new Effect.LogLine(
              PART,
              true,
              "target incarnation "
                  + currentIncarnation
                  + " crashed; "
                  + candidates.size()
                  + " fingerprints of its requests are suspects"));
    }
    lastBreakNanos.clear();
    targetAlive = false;
    instance = Optional.empty();
    currentIncarnation++;
    sendGossip(nowNanos);
  }

  /** Blames a crash of this daemon's target on a fingerprint, for the given time. */
  private void addCrash(long fingerprint, long incarnation, long durationNanos, long nowNanos) {
    boolean wasQuarantined = remainingQuarantineMillis(fingerprint, nowNanos).isPresent();
    Set<TargetCrash> crash = Set.of(new TargetCrash(self, incarnation));
    if (suspects.add(fingerprint, crash, nowNanos + durationNanos, nowNanos)) {
      suspectsToSend.add(fingerprint);
      clearedToSend.remove(fingerprint);
    }
    if (!wasQuarantined && remainingQuarantineMillis(fingerprint, nowNanos).isPresent()) {
      String id = Long.toHexString(fingerprint);
      effects.emit(
          new Effect.LogLine(
              PART, true, "fingerprint " + id + " is in quarantine; all daemons refuse it"));
    }
  }

  /**
   * Merges suspects received by gossip. If this daemon knows of other crashes, it sends the merged
   * state on, since its peers may not know all of them.
   */
  private void mergeGossip(SuspectsHeard message, long nowNanos) {
    for (Suspect s : message.suspects()) {
      long ttlNanos =
          Math.min(TimeUnit.MILLISECONDS.toNanos(s.ttlMillis()), settings.quarantineNanos());
      boolean knownBefore = suspects.crashCount(s.fingerprint(), nowNanos) > 0;
      suspects.add(s.fingerprint(), s.crashes(), nowNanos + ttlNanos, nowNanos);
      if (knownBefore && suspects.crashCount(s.fingerprint(), nowNanos) > s.crashes().size()) {
        suspectsToSend.add(s.fingerprint());
      }
    }
    message.cleared().forEach(suspects::remove);
  }

  /** Sends changed suspects and cleared fingerprints to some peers, if there are any. */
  private void sendGossip(long nowNanos) {
    lastGossipNanos = nowNanos;
    if (suspectsToSend.isEmpty() && clearedToSend.isEmpty()) {
      return;
    }
    List<Suspect> changed = new ArrayList<>();
    for (Long f : takeBatch(suspectsToSend)) {
      suspects.suspect(f, nowNanos).ifPresent(changed::add);
    }
    SuspectsHeard message = new SuspectsHeard(changed, takeBatch(clearedToSend));
    gossipPeers().forEach(p -> effects.emit(new Effect.Send(p, message)));
  }

  /** Removes and returns as many fingerprints as fit into a message, in order. */
  private static List<Long> takeBatch(Set<Long> from) {
    List<Long> out = from.stream().limit(MAX_FINGERPRINTS_PER_MESSAGE).toList();
    out.forEach(from::remove);
    return out;
  }

  /**
   * Returns the peers to send gossip to, up to the fan-out: first those that serve this daemon's
   * service or have no target, then the others, in random order within both groups.
   */
  private List<MemberId> gossipPeers() {
    List<Member> all = new ArrayList<>(roster.map(Roster::members).orElse(List.of()));
    all.removeIf(m -> m.id().equals(self));
    Map<MemberId, Integer> randomOrder = new HashMap<>();
    all.forEach(m -> randomOrder.put(m.id(), random.nextInt()));
    Comparator<Member> servingFirst =
        Comparator.comparing(m -> service.filter(m::serves).isEmpty() && m.target().isPresent());
    return all.stream()
        .sorted(servingFirst.thenComparing(m -> randomOrder.get(m.id())))
        .map(Member::id)
        .limit(settings.fanOut())
        .toList();
  }
}
