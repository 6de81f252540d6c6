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
import org.pomelohollow.decision.Effects;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.StableHash;

/**
 * Finds requests that crash targets. A fingerprint whose connection broke is a suspect: it runs on
 * one target at a time, until it completes or its suspicion expires. After a bounded number of
 * coincident deaths it is refused everywhere.
 */
public final class QuarantineController implements Controller {
  private static final String PART = "quarantine";
  private static final long COINCIDENCE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  private static final int MAX_TOLD_AT_ONCE = 256;

  private final MemberId self;
  private final QuarantineSettings settings;
  private final RandomGenerator random;
  private final Effects effects;
  private final SuspectTable table;
  private final Map<Long, Integer> running = new HashMap<>();
  private final Map<Long, Long> runs = new HashMap<>();
  private final Map<Long, Integer> probation = new HashMap<>();
  private final Map<Long, Long> brokenNanos = new HashMap<>();
  private final Set<Long> toTell = new LinkedHashSet<>();
  private final Set<Long> toClear = new LinkedHashSet<>();
  private Optional<Roster> roster = Optional.empty();
  private Optional<String> instance = Optional.empty();
  private Optional<ServiceId> service = Optional.empty();
  private long run;
  private long toldNanos;
  private Optional<Long> probationBrokeNanos = Optional.empty();

  /**
   * Creates a controller without suspects.
   *
   * @param self this daemon
   * @param settings bounds
   * @param random choice of peers to tell
   * @param effects takes what the controller asks for
   */
  public QuarantineController(
      MemberId self, QuarantineSettings settings, RandomGenerator random, Effects effects) {
    this.self = self;
    this.settings = settings;
    this.random = random;
    this.effects = effects;
    this.table = new SuspectTable(settings.maxSuspects());
  }

  /** Returns this daemon. */
  public MemberId self() {
    return self;
  }

  /** Returns the bounds. */
  public QuarantineSettings settings() {
    return settings;
  }

  /**
   * Tells whether a fingerprint is refused everywhere.
   *
   * @param fingerprint a fingerprint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time until it is not, in milliseconds; empty if it may run
   */
  public Optional<Long> remainingQuarantineMillis(long fingerprint, long nowNanos) {
    if (table.deaths(fingerprint, nowNanos) < settings.maxCrashes()) {
      return Optional.empty();
    }
    long left = table.remainingNanos(fingerprint, nowNanos);
    return Optional.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(left)));
  }

  /**
   * Tells whether a fingerprint is under suspicion.
   *
   * @param fingerprint a fingerprint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it may run on one target only
   */
  public boolean isSuspect(long fingerprint, long nowNanos) {
    return table.contains(fingerprint, nowNanos);
  }

  /**
   * Returns the one member whose target may run a suspect: the first by rendezvous hash among those
   * whose target it has not killed, or among all if it has killed every one.
   *
   * @param fingerprint fingerprint of the suspect
   * @param id service that is called
   * @return the member, empty if none serves
   */
  public Optional<MemberId> probationMember(long fingerprint, ServiceId id) {
    List<MemberId> serving =
        roster.map(r -> r.servingMembers(id)).orElse(List.of()).stream().map(Member::id).toList();
    Comparator<MemberId> order =
        Comparator.<MemberId, Boolean>comparing(m -> table.died(fingerprint, m))
            .thenComparing(m -> StableHash.mix(fingerprint ^ StableHash.of(m.toString())));
    return serving.stream().min(order);
  }

  /**
   * Notes at an entry that a target's daemon called a fingerprint a suspect, or that an attempt was
   * lost with a target, so that the next attempt goes to the one member that may run it.
   *
   * @param fingerprint its fingerprint
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void markSuspect(long fingerprint, long nowNanos) {
    if (!settings.suspectOnBrokenConnection() && !table.contains(fingerprint, nowNanos)) {
      return;
    }
    table.add(fingerprint, Set.of(), nowNanos + COINCIDENCE_NANOS, nowNanos);
  }

  /**
   * Notes that the target runs a request.
   *
   * @param fingerprint its fingerprint
   * @param onProbation whether it was let in as a suspect
   */
  public void requestStarted(long fingerprint, boolean onProbation) {
    add(running, fingerprint, 1);
    runs.put(fingerprint, run);
    if (onProbation) {
      add(probation, fingerprint, 1);
    }
  }

  /**
   * Notes that a request ended without the connection to the target breaking.
   *
   * @param fingerprint its fingerprint
   * @param onProbation whether it was let in as a suspect
   * @param answered whether the target answered, which clears the fingerprint
   */
  public void requestEnded(long fingerprint, boolean onProbation, boolean answered) {
    stopped(fingerprint, onProbation);
    if (answered && table.remove(fingerprint)) {
      toTell.remove(fingerprint);
      toClear.add(fingerprint);
    }
  }

  /**
   * Notes that the connection to the target broke while a request ran. A request that ran beside
   * one on probation is not blamed.
   *
   * @param fingerprint its fingerprint
   * @param onProbation whether it was let in as a suspect
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void connectionBroken(long fingerprint, boolean onProbation, long nowNanos) {
    boolean explained = isExplained(nowNanos);
    long startedRun = runs.getOrDefault(fingerprint, run);
    stopped(fingerprint, onProbation);
    if (onProbation) {
      probationBrokeNanos = Optional.of(nowNanos);
    } else if (explained) {
      return;
    }
    brokenNanos.put(fingerprint, nowNanos);
    if (!settings.suspectOnBrokenConnection()) {
      return;
    }
    blame(fingerprint, startedRun, settings.suspectNanos(), nowNanos);
    if (nowNanos - toldNanos >= TELL_NANOS) {
      tell(nowNanos);
    }
  }

  /** Tells whether a request on probation runs, or has just broken its connection. */
  private boolean isExplained(long nowNanos) {
    return !probation.isEmpty()
        || probationBrokeNanos.filter(t -> nowNanos - t < COINCIDENCE_NANOS).isPresent();
  }

  private void stopped(long fingerprint, boolean onProbation) {
    add(running, fingerprint, -1);
    if (!running.containsKey(fingerprint)) {
      runs.remove(fingerprint);
    }
    if (onProbation) {
      add(probation, fingerprint, -1);
    }
  }

  private static void add(Map<Long, Integer> counts, long fingerprint, int n) {
    counts.merge(fingerprint, n, (a, b) -> a + b == 0 ? null : a + b);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.RosterChanged r) {
      roster = Optional.of(r.roster());
    } else if (event instanceof Event.TargetAnnounced a) {
      announced(a.announcement().instance(), nowNanos);
      service = Optional.of(a.announcement().service());
    } else if (event instanceof Event.TargetLost) {
      died(nowNanos);
    } else if (event instanceof Event.MessageReceived m && m.message() instanceof SuspectsHeard h) {
      receive(h, nowNanos);
    } else if (event instanceof Event.Tick) {
      table.expire(nowNanos);
      long kept = settings.suspectOnBrokenConnection() ? CONFIRMATION_NANOS : COINCIDENCE_NANOS;
      brokenNanos.values().removeIf(t -> nowNanos - t > kept);
      tell(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("suspects", table.size())
        .line("fingerprints at the target", running.size())
        .line("run of the target", run)
        .build();
  }

  private void announced(String newInstance, long nowNanos) {
    if (instance.filter(newInstance::equals).isPresent()) {
      return;
    }
    died(nowNanos);
    instance = Optional.of(newInstance);
  }

  /** The target is dead: what was running, or broke shortly before, stays suspect for longer. */
  private void died(long nowNanos) {
    if (instance.isEmpty()) {
      return;
    }
    Set<Long> candidates = new HashSet<>(brokenNanos.keySet());
    candidates.addAll(isExplained(nowNanos) ? probation.keySet() : running.keySet());
    candidates.forEach(f -> blame(f, run, settings.quarantineNanos(), nowNanos));
    if (!candidates.isEmpty()) {
      effects.emit(
          new Effect.Note(PART, true, "the target died with " + candidates.size() + " requests"));
    }
    brokenNanos.clear();
    instance = Optional.empty();
    run++;
    tell(nowNanos);
  }

  private void blame(long fingerprint, long deathRun, long nanos, long nowNanos) {
    boolean was = remainingQuarantineMillis(fingerprint, nowNanos).isPresent();
    Set<TargetCrash> d = Set.of(new TargetCrash(self, deathRun));
    if (table.add(fingerprint, d, nowNanos + nanos, nowNanos)) {
      toTell.add(fingerprint);
      toClear.remove(fingerprint);
    }
    if (!was && remainingQuarantineMillis(fingerprint, nowNanos).isPresent()) {
      String id = Long.toHexString(fingerprint);
      effects.emit(new Effect.Note(PART, true, "fingerprint " + id + " is refused"));
    }
  }

  private void receive(SuspectsHeard h, long nowNanos) {
    for (Suspect s : h.suspects()) {
      long ttl = Math.min(TimeUnit.MILLISECONDS.toNanos(s.ttlMillis()), settings.quarantineNanos());
      boolean knewMore = table.deaths(s.fingerprint(), nowNanos) > 0;
      table.add(s.fingerprint(), s.crashes(), nowNanos + ttl, nowNanos);
      if (knewMore && table.deaths(s.fingerprint(), nowNanos) > s.crashes().size()) {
        toTell.add(s.fingerprint());
      }
    }
    h.cleared().forEach(table::remove);
  }

  private void tell(long nowNanos) {
    toldNanos = nowNanos;
    if (toTell.isEmpty() && toClear.isEmpty()) {
      return;
    }
    List<Suspect> suspects = new ArrayList<>();
    for (Long f : take(toTell)) {
      table.describe(f, nowNanos).ifPresent(suspects::add);
    }
    SuspectsHeard m = new SuspectsHeard(suspects, take(toClear));
    peers().forEach(p -> effects.emit(new Effect.Send(p, m)));
  }

  private static List<Long> take(Set<Long> from) {
    List<Long> out = from.stream().limit(MAX_TOLD_AT_ONCE).toList();
    out.forEach(from::remove);
    return out;
  }

  /** Returns the peers of the same service first, then others at random, up to the fan-out. */
  private List<MemberId> peers() {
    List<Member> all = new ArrayList<>(roster.map(Roster::members).orElse(List.of()));
    all.removeIf(m -> m.id().equals(self));
    Map<MemberId, Integer> order = new HashMap<>();
    all.forEach(m -> order.put(m.id(), random.nextInt()));
    Comparator<Member> serving =
        Comparator.comparing(m -> service.filter(m::serves).isEmpty() && m.target().isPresent());
    return all.stream()
        .sorted(serving.thenComparing(m -> order.get(m.id())))
        .map(Member::id)
        .limit(settings.fanOut())
        .toList();
  }
}
