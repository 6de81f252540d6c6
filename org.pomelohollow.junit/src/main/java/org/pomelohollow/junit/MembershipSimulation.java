package org.pomelohollow.junit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

/**
 * Simulation of daemons' membership and configuration controllers, which exchange messages through
 * an event queue in virtual time. The test sets message loss, network partitions, pauses and
 * crashes. Daemons are identified by number, counted from 0; zones and services are assigned to
 * them evenly.
 */
public final class MembershipSimulation {
  private static final String HOST_PREFIX = "host-";
  private static final long TICK_PERIOD_NANOS = 50_000_000L;
  private static final long LOG_READ_PERIOD_NANOS = 500_000_000L;
  private static final long MIN_MESSAGE_DELAY_NANOS = 500_000L;
  private static final long MESSAGE_DELAY_RANGE_NANOS = 3_000_000L;

  private final Random random;
  private final int zones;
  private final int services;
  private final List<SimulatedMember> daemons = new ArrayList<>();
  private final Map<Endpoint, Integer> byEndpoint = new HashMap<>();
  private final VirtualTime time = new VirtualTime();
  private final SimulatedLog log = new SimulatedLog();
  private final SimulatedDocuments documents = new SimulatedDocuments(time);
  private BiConsumer<MemberId, PeerMessage> sendListener = (from, m) -> {};
  private NetworkPartition partition = (from, to) -> false;
  private double lossRate;
  private boolean connectionsRefused;
  private long lastIncarnation = 1_000;

  /**
   * Creates a simulation without daemons.
   *
   * @param zones number of availability zones
   * @param services number of services
   * @param seed seed of message loss, delays and the controllers' random choices
   */
  public MembershipSimulation(int zones, int services, long seed) {
    this.zones = zones;
    this.services = services;
    this.random = new Random(seed);
  }

  /** Network partition: decides which messages are lost, by sender and receiver. */
  @FunctionalInterface
  public interface NetworkPartition {
    /**
     * Returns whether messages from one daemon to another are lost.
     *
     * @param from number of the sender
     * @param to number of the receiver
     * @return true if they are lost
     */
    boolean blocks(int from, int to);
  }

  /**
   * Adds and starts daemons. The first three of the simulation are the seeds of all.
   *
   * @param n number of daemons to add
   */
  public void start(int n) {
    for (int i = 0; i < n; i++) {
      int k = daemons.size();
      daemons.add(new SimulatedMember(this, k, newMember(k, ++lastIncarnation), random.nextLong()));
      byEndpoint.put(endpoint(k), k);
      scheduleTicksAndLogReads(daemons.get(k));
      documents.follow(daemons.get(k));
    }
  }

  /**
   * Crashes a daemon, if it still runs, and starts a new incarnation at its host and address.
   *
   * @param k number of the daemon
   */
  public void restart(int k) {
    crash(k);
    daemons.set(
        k, new SimulatedMember(this, k, newMember(k, ++lastIncarnation), random.nextLong()));
    scheduleTicksAndLogReads(daemons.get(k));
    documents.follow(daemons.get(k));
  }

  /** Publishes the next version of the operators' document. */
  public void publishDocument() {
    documents.publish();
  }

  /** Returns the newest version of the operators' document, 0 if none was published. */
  public long documentVersion() {
    return documents.version();
  }

  /** Silences the connections to the store on which daemons wait for the next document. */
  public void silenceDocuments() {
    documents.silence();
  }

  /**
   * Sets which daemons can reach the store of the operators' documents.
   *
   * @param reachable whether the daemon with a given number can
   */
  public void setDocumentsReachable(IntPredicate reachable) {
    documents.setReachable(reachable);
  }

  /** Returns the number of reads of the store that daemons have made to confirm a document. */
  public long documentReads() {
    return documents.reads();
  }

  /**
   * Crashes a daemon: no further event is delivered to it, and it sends nothing.
   *
   * @param k number of the daemon
   */
  public void crash(int k) {
    daemons.get(k).crash();
  }

  /**
   * Requests the shutdown of a daemon. It still handles events until {@link #crash} is called.
   *
   * @param k number of the daemon
   */
  public void requestShutdown(int k) {
    daemons.get(k).handle(new Event.ShutdownRequested(), nowNanos());
  }

  /**
   * Sets whether a daemon's target is draining.
   *
   * @param k number of the daemon
   * @param draining whether it accepts no new requests
   */
  public void setDraining(int k, boolean draining) {
    daemons.get(k).setTarget(Optional.of(target(k, draining)), nowNanos());
  }

  /**
   * Pauses a daemon. Events other than ticks are deferred until the pause ends.
   *
   * @param k number of the daemon
   * @param d length of the pause
   */
  public void pause(int k, Duration d) {
    daemons.get(k).pauseUntil(nowNanos() + d.toNanos());
  }

  /**
   * Sets the rate of random message loss.
   *
   * @param lossRate share of messages that are lost, 0 to 1
   */
  public void setLoss(double lossRate) {
    this.lossRate = lossRate;
  }

  /**
   * Sets the network partition.
   *
   * @param partition decides which messages are lost
   */
  public void setPartition(NetworkPartition partition) {
    this.partition = partition;
  }

  /**
   * Sets whether the sender of a message to a crashed daemon is notified of a lost link, as after a
   * refused connection.
   *
   * @param connectionsRefused whether it is notified; otherwise the message is lost silently
   */
  public void setConnectionsRefused(boolean connectionsRefused) {
    this.connectionsRefused = connectionsRefused;
  }

  /**
   * Sets whether the platform log is available.
   *
   * @param available whether reads and appends succeed
   */
  public void setLogAvailable(boolean available) {
    log.setAvailable(available);
  }

  /** Expires all records of the log, as its retention does. */
  public void expireLog() {
    log.expire();
  }

  /**
   * Sets the listener of all messages, which is called before a message can be lost.
   *
   * @param listener receives the sender and the message
   */
  public void setSendListener(BiConsumer<MemberId, PeerMessage> listener) {
    sendListener = listener;
  }

  /**
   * Advances the virtual time and runs the actions that fall due.
   *
   * @param d duration
   */
  public void runFor(Duration d) {
    time.runFor(d);
  }

  /**
   * Advances the virtual time in steps of one tick until a condition holds.
   *
   * @param limit longest duration
   * @param condition condition, checked before every step
   * @return the duration that passed, or empty if the condition did not hold within the limit
   */
  public Optional<Duration> runUntil(Duration limit, BooleanSupplier condition) {
    long startNanos = nowNanos();
    while (nowNanos() - startNanos <= limit.toNanos()) {
      if (condition.getAsBoolean()) {
        return Optional.of(Duration.ofNanos(nowNanos() - startNanos));
      }
      runFor(Duration.ofNanos(TICK_PERIOD_NANOS));
    }
    return Optional.empty();
  }

  /** Returns the number of daemons, including crashed ones. */
  public int size() {
    return daemons.size();
  }

  /**
   * Returns the identity of the present incarnation of a daemon.
   *
   * @param k number of the daemon
   * @return the identity
   */
  public MemberId id(int k) {
    return daemons.get(k).id();
  }

  /** Returns the current virtual time, in nanoseconds. */
  public long nowNanos() {
    return time.nowNanos();
  }

  /**
   * Returns a daemon.
   *
   * @param k number of the daemon
   * @return the daemon
   */
  public SimulatedMember daemon(int k) {
    return daemons.get(k);
  }

  /**
   * Returns whether a daemon would route new requests to the target of another.
   *
   * @param from number of the daemon
   * @param to number of the other
   * @return whether its roster lists the other with a target that accepts new requests
   */
  public boolean canRoute(int from, int to) {
    Roster r = daemons.get(from).roster();
    return r.find(daemons.get(to).id()).filter(m -> m.serves(service(to))).isPresent();
  }

  /**
   * Counts the other daemons that would route new requests to the target of a daemon. Crashed and
   * paused daemons are not counted.
   *
   * @param to number of the daemon
   * @return the count
   */
  public long countDaemonsRoutingTo(int to) {
    return running().filter(k -> k != to && !daemons.get(k).isPaused() && canRoute(k, to)).count();
  }

  /** Returns whether every running daemon's roster lists exactly the running daemons. */
  public boolean isConverged() {
    return isConverged(k -> true);
  }

  /**
   * Returns whether within a part of the fleet every running daemon's roster lists exactly the
   * part's running daemons.
   *
   * @param members whether the daemon with a given number belongs to the part
   * @return whether all of these rosters do
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

  void execute(SimulatedMember from, Effect e) {
    if (e instanceof Effect.Send s) {
      transmit(from, find(s.to()), s.message());
    } else if (e instanceof Effect.SendToAddress s) {
      transmit(from, find(s.to()), s.message());
    } else if (e instanceof Effect.Append a) {
      time.schedule(LOG_READ_PERIOD_NANOS / 2, () -> append(from, a));
    } else if (e instanceof Effect.ConfirmDocument) {
      documents.confirm(from);
    }
  }

  /** Returns whether operators have published a document, so that daemons exchange it. */
  boolean hasDocument() {
    return documents.version() > 0;
  }

  List<Endpoint> seeds() {
    return List.of(endpoint(0), endpoint(1), endpoint(2));
  }

  Optional<TargetState> initialTarget(int k) {
    return Optional.of(target(k, false));
  }

  private void scheduleTicksAndLogReads(SimulatedMember d) {
    time.schedule(random.nextLong(TICK_PERIOD_NANOS), () -> tick(d));
    time.schedule(random.nextLong(LOG_READ_PERIOD_NANOS), () -> readLog(d));
  }

  private Member newMember(int k, long incarnation) {
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

  private void tick(SimulatedMember d) {
    if (d.isRunning()) {
      d.deliver(new Event.Tick(), nowNanos());
      time.schedule(TICK_PERIOD_NANOS, () -> tick(d));
    }
  }

  private void readLog(SimulatedMember d) {
    if (!d.isRunning()) {
      return;
    }
    time.schedule(LOG_READ_PERIOD_NANOS, () -> readLog(d));
    d.deliver(log.read(d), nowNanos());
  }

  private void append(SimulatedMember from, Effect.Append a) {
    from.deliver(log.append(a), nowNanos());
  }

  private void transmit(SimulatedMember from, Optional<SimulatedMember> to, PeerMessage m) {
    sendListener.accept(from.id(), m);
    if (to.isEmpty() || partition.blocks(from.number(), to.get().number())) {
      return;
    }
    if (!to.get().isRunning()) {
      notifyLinkLost(from, to.get());
    } else if (random.nextDouble() >= lossRate) {
      time.schedule(
          MIN_MESSAGE_DELAY_NANOS + random.nextLong(MESSAGE_DELAY_RANGE_NANOS),
          () -> to.get().deliver(new Event.MessageReceived(from.id(), m), nowNanos()));
    }
  }

  private void notifyLinkLost(SimulatedMember from, SimulatedMember to) {
    if (connectionsRefused) {
      time.schedule(
          MIN_MESSAGE_DELAY_NANOS, () -> from.deliver(new Event.LinkLost(to.id()), nowNanos()));
    }
  }

  private Optional<SimulatedMember> find(MemberId id) {
    int k = Integer.parseInt(id.host().substring(HOST_PREFIX.length()));
    return Optional.of(daemons.get(k)).filter(d -> d.id().equals(id));
  }

  private Optional<SimulatedMember> find(Endpoint e) {
    return Optional.ofNullable(byEndpoint.get(e)).map(daemons::get);
  }
}
