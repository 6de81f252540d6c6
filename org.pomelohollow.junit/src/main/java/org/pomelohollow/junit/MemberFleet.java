package org.pomelohollow.junit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/**
 * Membership controllers joined by a queue of messages, with time, loss, cuts and pauses set by the
 * test. Daemons are named by number; an even spread gives each a zone and a service.
 */
public final class MemberFleet {
  private static final String HOST_PREFIX = "host-";
  private static final long TICK_NANOS = 50_000_000L;
  private static final long LOG_READ_NANOS = 500_000_000L;
  private static final long MIN_DELAY_NANOS = 500_000L;
  private static final long DELAY_SPREAD_NANOS = 3_000_000L;

  private final Random random;
  private final int zones;
  private final int services;
  private final List<MemberDaemon> daemons = new ArrayList<>();
  private final Map<Endpoint, Integer> byEndpoint = new HashMap<>();
  private final PriorityQueue<Action> queue = new PriorityQueue<>();
  private final List<StoredEntry> log = new ArrayList<>();
  private BiConsumer<MemberId, PeerMessage> sendListener = (from, m) -> {};
  private Cut cut = (from, to) -> false;
  private double loss;
  private boolean logUp = true;
  private boolean refusals;
  private long oldestOffset;
  private long incarnations = 1_000;
  private long actions;
  private long nowNanos = -Duration.ofHours(1).toNanos();

  /**
   * Creates a fleet without daemons.
   *
   * @param zones number of availability zones
   * @param services number of services
   * @param seed seed of all random choices
   */
  public MemberFleet(int zones, int services, long seed) {
    this.zones = zones;
    this.services = services;
    this.random = new Random(seed);
  }

  /** Tells whether messages between two daemons are cut. */
  @FunctionalInterface
  public interface Cut {
    /**
     * Tells whether a message gets lost.
     *
     * @param from number of the sender
     * @param to number of the receiver
     * @return true if it does
     */
    boolean isCut(int from, int to);
  }

  /**
   * Starts daemons with the first three as seeds.
   *
   * @param n how many
   */
  public void start(int n) {
    for (int i = 0; i < n; i++) {
      int k = daemons.size();
      daemons.add(new MemberDaemon(this, k, describe(k, ++incarnations), random.nextLong()));
      byEndpoint.put(endpoint(k), k);
      begin(daemons.get(k));
    }
  }

  /**
   * Puts a new run under the name and address of a daemon that is gone.
   *
   * @param k number of the daemon
   */
  public void replace(int k) {
    crash(k);
    daemons.set(k, new MemberDaemon(this, k, describe(k, ++incarnations), random.nextLong()));
    begin(daemons.get(k));
  }

  /**
   * Ends a daemon without a word.
   *
   * @param k number of the daemon
   */
  public void crash(int k) {
    daemons.get(k).crash();
  }

  /**
   * Asks a daemon to stop; it goes on until it is crashed.
   *
   * @param k number of the daemon
   */
  public void stop(int k) {
    daemons.get(k).handle(new Event.ShutdownRequested(), nowNanos);
  }

  /**
   * Sets whether a daemon's target drains.
   *
   * @param k number of the daemon
   * @param draining whether it gets no new work
   */
  public void setDraining(int k, boolean draining) {
    daemons.get(k).setTarget(Optional.of(target(k, draining)), nowNanos);
  }

  /**
   * Pauses a daemon; what is sent to it meanwhile waits.
   *
   * @param k number of the daemon
   * @param d how long
   */
  public void pause(int k, Duration d) {
    daemons.get(k).pauseUntil(nowNanos + d.toNanos());
  }

  /**
   * Sets the share of messages that get lost.
   *
   * @param loss 0 to 1
   */
  public void setLoss(double loss) {
    this.loss = loss;
  }

  /**
   * Sets between whom messages get lost.
   *
   * @param cut the cut
   */
  public void setCut(Cut cut) {
    this.cut = cut;
  }

  /**
   * Sets whether a sender hears that its peer's process is gone, as from a refused connection.
   *
   * @param refusals whether it does
   */
  public void setRefusals(boolean refusals) {
    this.refusals = refusals;
  }

  /**
   * Sets whether the platform log works.
   *
   * @param up whether it does
   */
  public void setLogUp(boolean up) {
    logUp = up;
  }

  /** Expires all records of the log. */
  public void expireLog() {
    oldestOffset = log.size();
  }

  /**
   * Sets who is told of every message that is sent.
   *
   * @param listener takes sender and message
   */
  public void onSend(BiConsumer<MemberId, PeerMessage> listener) {
    sendListener = listener;
  }

  /**
   * Lets time pass.
   *
   * @param d how much
   */
  public void run(Duration d) {
    long end = nowNanos + d.toNanos();
    while (!queue.isEmpty() && queue.peek().atNanos <= end) {
      Action a = queue.remove();
      nowNanos = a.atNanos;
      a.run.run();
    }
    nowNanos = end;
  }

  /**
   * Lets time pass until a condition holds, in steps of a tick.
   *
   * @param limit longest time
   * @param condition the condition
   * @return the time that passed, or empty if the condition never held
   */
  public Optional<Duration> runUntil(Duration limit, BooleanSupplier condition) {
    long start = nowNanos;
    while (nowNanos - start <= limit.toNanos()) {
      if (condition.getAsBoolean()) {
        return Optional.of(Duration.ofNanos(nowNanos - start));
      }
      run(Duration.ofNanos(TICK_NANOS));
    }
    return Optional.empty();
  }

  /** Returns the number of daemons, crashed ones included. */
  public int size() {
    return daemons.size();
  }

  /**
   * Returns the identity of a daemon's present run.
   *
   * @param k number of the daemon
   * @return the identity
   */
  public MemberId id(int k) {
    return daemons.get(k).id();
  }

  /** Returns the present time, in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /**
   * Returns a daemon.
   *
   * @param k number of the daemon
   * @return the daemon
   */
  public MemberDaemon daemon(int k) {
    return daemons.get(k);
  }

  /**
   * Tells whether a daemon would send new work to another.
   *
   * @param from number of the daemon
   * @param to number of the other
   * @return whether the roster has it with a target that takes new work
   */
  public boolean routes(int from, int to) {
    Roster r = daemons.get(from).roster();
    return r.find(daemons.get(to).id()).filter(m -> m.serves(service(to))).isPresent();
  }

  /**
   * Counts the daemons, itself excepted, that run and would send new work to a daemon.
   *
   * @param to number of the daemon
   * @return the count
   */
  public long countRouting(int to) {
    return running().filter(k -> k != to && !daemons.get(k).isPaused() && routes(k, to)).count();
  }

  /** Tells whether every running daemon's roster holds the running daemons and no others. */
  public boolean isConverged() {
    return isConverged(k -> true);
  }

  /**
   * Tells whether the rosters in a part of the fleet hold the part's running daemons and no others.
   *
   * @param members which daemons belong to the part
   * @return whether it does
   */
  public boolean isConverged(IntPredicate members) {
    int[] part = running().filter(members).toArray();
    Set<MemberId> ids = Arrays.stream(part).mapToObj(k -> id(k)).collect(Collectors.toSet());
    return Arrays.stream(part)
        .mapToObj(k -> daemons.get(k).roster().members())
        .allMatch(m -> m.size() == ids.size() && m.stream().allMatch(e -> ids.contains(e.id())));
  }

  /** Returns the numbers of the daemons that have not crashed. */
  public IntStream running() {
    return IntStream.range(0, daemons.size()).filter(k -> daemons.get(k).isRunning());
  }

  /**
   * Returns the service of a daemon's target.
   *
   * @param k number of the daemon
   * @return the service
   */
  public ServiceId service(int k) {
    return new ServiceId("service-" + k / zones % services);
  }

  void carryOut(MemberDaemon from, Effect e) {
    if (e instanceof Effect.Send s) {
      transmit(from, find(s.to()), s.message());
    } else if (e instanceof Effect.SendToAddress s) {
      transmit(from, find(s.to()), s.message());
    } else if (e instanceof Effect.Append a) {
      schedule(LOG_READ_NANOS / 2, () -> append(from, a));
    }
  }

  List<Endpoint> seeds() {
    return List.of(endpoint(0), endpoint(1), endpoint(2));
  }

  Optional<TargetState> initialTarget(int k) {
    return Optional.of(target(k, false));
  }

  private void begin(MemberDaemon d) {
    schedule(random.nextLong(TICK_NANOS), () -> tick(d));
    schedule(random.nextLong(LOG_READ_NANOS), () -> readLog(d));
  }

  private Member describe(int k, long incarnation) {
    return new Member(
        new MemberId(HOST_PREFIX + k, incarnation),
        endpoint(k),
        new ZoneId("zone-" + k % zones),
        Optional.empty(),
        false);
  }

  private static Endpoint endpoint(int k) {
    return new Endpoint("10.0." + k / 250 + "." + (k % 250 + 1), 7400);
  }

  private TargetState target(int k, boolean draining) {
    return new TargetState(service(k), 40, 40, false, draining);
  }

  private void tick(MemberDaemon d) {
    if (d.isRunning()) {
      d.deliver(new Event.Tick(), nowNanos);
      schedule(TICK_NANOS, () -> tick(d));
    }
  }

  private void readLog(MemberDaemon d) {
    if (!d.isRunning()) {
      return;
    }
    schedule(LOG_READ_NANOS, () -> readLog(d));
    if (!logUp) {
      d.deliver(new Event.LogReadFailed(LogStream.MEMBERS), nowNanos);
      return;
    }
    long from = Math.max(d.nextOffset(), oldestOffset);
    List<StoredEntry> entries = log.subList((int) from, log.size());
    d.setNextOffset(log.size());
    d.deliver(
        new Event.LogRead(LogStream.MEMBERS, from, entries, oldestOffset, log.size()), nowNanos);
  }

  private void append(MemberDaemon from, Effect.Append a) {
    if (logUp) {
      log.add(new StoredEntry(log.size(), Optional.of(a.entry())));
    }
    from.deliver(
        new Event.AppendCompleted(
            a.appendId(), logUp ? Event.AppendOutcome.APPENDED : Event.AppendOutcome.FAILED),
        nowNanos);
  }

  private void transmit(MemberDaemon from, Optional<MemberDaemon> to, PeerMessage m) {
    sendListener.accept(from.id(), m);
    if (to.isEmpty() || cut.isCut(from.number(), to.get().number())) {
      return;
    }
    if (!to.get().isRunning()) {
      refuse(from, to.get());
    } else if (random.nextDouble() >= loss) {
      schedule(
          MIN_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS),
          () -> to.get().deliver(new Event.MessageReceived(from.id(), m), nowNanos));
    }
  }

  private void refuse(MemberDaemon from, MemberDaemon to) {
    if (refusals) {
      schedule(MIN_DELAY_NANOS, () -> from.deliver(new Event.LinkLost(to.id()), nowNanos));
    }
  }

  private Optional<MemberDaemon> find(MemberId id) {
    int k = Integer.parseInt(id.host().substring(HOST_PREFIX.length()));
    return Optional.of(daemons.get(k)).filter(d -> d.id().equals(id));
  }

  private Optional<MemberDaemon> find(Endpoint e) {
    return Optional.ofNullable(byEndpoint.get(e)).map(daemons::get);
  }

  private void schedule(long afterNanos, Runnable run) {
    queue.add(new Action(nowNanos + afterNanos, actions++, run));
  }

  private record Action(long atNanos, long order, Runnable run) implements Comparable<Action> {
    @Override
    public int compareTo(Action o) {
      int byTime = Long.compare(atNanos, o.atNanos);
      return byTime != 0 ? byTime : Long.compare(order, o.order);
    }
  }
}
