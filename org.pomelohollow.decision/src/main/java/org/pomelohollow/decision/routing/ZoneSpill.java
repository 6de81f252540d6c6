package org.pomelohollow.decision.routing;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.ZoneId;

/**
 * Decides for each service which share of its requests leaves the availability zone. It handles
 * zones whose demand or capacity differ, and keeps requests at home while they find slots there.
 *
 * <p>The share rises while the own zone has no free capacity, or is busy and clearly slower than
 * the others, and falls slowly once that has ended. Between the two is a dead band. A step is the
 * smaller, the longer requests take, since the effect of a step shows only when requests end. Of
 * the requests whose target in the own zone is full, more leave the fewer free slots the zone has.
 * All of those leave if they were refused before.
 */
public final class ZoneSpill implements ZonePolicy, Controller {
  /**
   * Time that a request may wait at a full target of the standalone deployment before a standing
   * queue makes it refuse requests, in nanoseconds.
   */
  static final long QUEUE_NANOS = 20_000_000;

  private static final String PART = "zones";
  private static final long INTERVAL_NANOS = 100_000_000;

  /** Utilization of the own zone that the share aims at; most of two random picks have a slot. */
  private static final double AIM = 0.85;

  /** Mean utilization from which a zone has no free capacity. */
  private static final double FULL = 0.9;

  /** Mean utilization of the own zone below which the share falls. */
  private static final double RELAXED = 0.8;

  /** Utilization of the own zone below which the other zones' speed does not matter. */
  private static final double BUSY = 0.7;

  /**
   * Factor by which requests must take longer in the own zone to leave it for speed. The mean
   * latency of 8 targets, each smoothed over 10 responses, has an error of about 8%.
   */
  private static final double CLEARLY_SLOWER = 1.5;

  /**
   * Factor by which the own zone and target must be busier to send requests to full ones elsewhere.
   * It is a dead band: two zones cannot both be this much fuller.
   */
  private static final double CLEARLY_FULLER = 1.5;

  /** Utilization after one more request up to which a target of another zone has room. */
  private static final double ROOM = 0.9;

  /** Utilization up to which a target with few slots has room. */
  private static final double HALF_BUSY = 0.5;

  /** A request at a full target may be refused and be made a second time. */
  private static final double FULL_TARGET_FACTOR = 2;

  /** Smallest share; the most that is sent to zones whose load is unknown. */
  private static final double MIN_SHARE = 0.05;

  private static final double MAX_STEP_RATIO = 1.5;

  /** Factor per interval by which the share falls: it halves in about 0.7 s. */
  private static final double FALL = 0.9;

  /** The same while the other zones have no room. */
  private static final double FALL_WITHOUT_ROOM = 0.7;

  /**
   * Time without leaving requests after which a service counts as having stopped. It bounds the log
   * lines to four a minute for each service, also where few requests leave now and then.
   */
  private static final long STOP_NANOS = 30_000_000_000L;

  private final RandomGenerator random;
  private final EffectSink effects;
  private final Map<ServiceId, Spill> spills = new HashMap<>();
  private final Map<ServiceId, Long> sentOutside = new TreeMap<>();

  /**
   * Creates a policy by which no request leaves yet.
   *
   * @param random source of the random choices
   * @param effects receives the log lines
   */
  public ZoneSpill(RandomGenerator random, EffectSink effects) {
    this.random = random;
    this.effects = effects;
  }

  @Override
  public boolean isDue(ServiceId service, long nowNanos) {
    Spill s = spills.get(service);
    return s == null || nowNanos - s.updatedNanos >= INTERVAL_NANOS;
  }

  @Override
  public void update(ServiceId service, ZoneLoad own, List<ZoneLoad> others, long nowNanos) {
    Spill s = spills.computeIfAbsent(service, k -> new Spill(nowNanos));
    double intervals = Math.max(1, (nowNanos - s.updatedNanos) / (double) INTERVAL_NANOS);
    s.updatedNanos = nowNanos;
    s.own = own;
    s.others = List.copyOf(others);
    if (!own.reported() || s.freeSlots() <= 0) {
      s.fall(own.reported() ? FALL_WITHOUT_ROOM : FALL, intervals);
    } else if (own.utilization() >= FULL || isClearlySlower(s)) {
      s.rise();
    } else if (own.utilization() < RELAXED) {
      s.fall(FALL, intervals);
    }
    s.share = Math.min(s.share, s.maxShare());
  }

  @Override
  public boolean isOwnZoneBusy(ServiceId service) {
    return share(service) > 0;
  }

  @Override
  public Optional<ZoneId> chooseZone(ServiceId service) {
    Spill s = spills.get(service);
    double free = s == null ? 0 : s.freeSlots();
    if (free <= 0) {
      return Optional.empty();
    }
    double at = random.nextDouble() * free;
    for (ZoneLoad z : s.others) {
      at -= freeSlots(z);
      if (at < 0) {
        return Optional.of(z.zone());
      }
    }
    return Optional.empty();
  }

  @Override
  public boolean leaves(Choice c) {
    Pick own = c.own();
    Pick other = c.other();
    if (!hasRoom(c) || other.utilization() >= own.utilization()) {
      return (c.retry() && own.isFull() && !other.isFull()) || leavesLongerQueue(c);
    }
    double share = own.isFull() ? shareOfFull(c) : share(c.service());
    if (random.nextDouble() >= share) {
      return false;
    }
    double otherNanos = other.completionNanos() + CrossingCost.nanos(c.bodyBytes());
    double ownNanos = FULL_TARGET_FACTOR * own.completionNanos() + (own.isFull() ? QUEUE_NANOS : 0);
    return otherNanos < ownNanos;
  }

  /**
   * Returns the share of the requests for a service that leave the zone although they would find a
   * slot in it.
   *
   * @param service the service
   * @return the share, from 0 to 1
   */
  public double share(ServiceId service) {
    Spill s = spills.get(service);
    return s == null ? 0 : s.share;
  }

  /**
   * Records that an attempt was sent to another zone.
   *
   * @param service service that is called
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordSentOutside(ServiceId service, long nowNanos) {
    sentOutside.merge(service, 1L, Long::sum);
    Spill s = spills.computeIfAbsent(service, k -> new Spill(nowNanos));
    s.sentNanos = nowNanos;
    if (!s.leaving) {
      s.leaving = true;
      log("requests for " + service + " start to leave the zone, " + s);
    }
  }

  /** Returns the services of which at least one attempt was sent to another zone. */
  public Set<ServiceId> servicesOutside() {
    return Collections.unmodifiableSet(sentOutside.keySet());
  }

  /**
   * Returns the number of attempts that were sent to other zones.
   *
   * @param service service that was called
   */
  public long sentOutside(ServiceId service) {
    return sentOutside.getOrDefault(service, 0L);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      spills.forEach(
          (service, s) -> {
            if (s.leaving && nowNanos - s.sentNanos >= STOP_NANOS) {
              s.leaving = false;
              log("requests for " + service + " no longer leave the zone, " + s);
            }
          });
    } else if (event instanceof Event.ConfigActivated c) {
      spills.keySet().retainAll(c.configuration().document().services().keySet());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART);
    spills.forEach(
        (service, s) ->
            b.line(service.toString(), s + ", " + sentOutside(service) + " attempts sent outside"));
    return b.build();
  }

  private void log(String text) {
    effects.emit(new Effect.LogLine(PART, false, text));
  }

  private static boolean isClearlySlower(Spill s) {
    double other =
        s.others.stream()
            .filter(z -> freeSlots(z) > 0 && z.completionNanos() > 0)
            .mapToDouble(ZoneLoad::completionNanos)
            .average()
            .orElse(Double.POSITIVE_INFINITY);
    return s.own.utilization() > BUSY
        && s.own.completionNanos() > CLEARLY_SLOWER * (other + CrossingCost.nanos(0));
  }

  /** Returns whether the other target has room; by its zone if its own load is unknown. */
  private boolean hasRoom(Choice c) {
    Pick p = c.other();
    return (p.reported() || hasRoomOutside(c.service()))
        && (p.nextUtilization() <= ROOM || p.utilization() <= HALF_BUSY);
  }

  private boolean hasRoomOutside(ServiceId service) {
    Spill s = spills.get(service);
    return s == null || s.freeSlots() > 0;
  }

  /**
   * Returns the share of the requests that leave among those whose target in the own zone has no
   * free slot. One such target says little while the zone has free slots; with none, all leave. So
   * do those that a target has refused, which would be refused for good next, and those of which
   * the target or the zone has no recent report: nothing tells of free slots at home.
   */
  private double shareOfFull(Choice c) {
    Spill s = spills.get(c.service());
    if (c.retry() || c.bestInOwnZone() || !c.own().reported() || s == null || !s.own.reported()) {
      return 1;
    }
    return Math.max(s.share, (s.own.utilization() - FULL) / (1 - FULL));
  }

  /**
   * Returns whether a request leaves although no zone has room, because the queues at home are
   * clearly longer. The share that leaves is that of the requests at home beyond the load outside,
   * so it ends before the loads are equal and zones do not exchange requests.
   */
  private boolean leavesLongerQueue(Choice c) {
    Pick own = c.own();
    Pick other = c.other();
    Spill s = spills.get(c.service());
    return s != null
        && own.isFull()
        && own.reported()
        && other.reported()
        && own.utilization() > CLEARLY_FULLER * other.nextUtilization()
        && s.own.utilization() > CLEARLY_FULLER * Math.max(1, s.othersUtilization())
        && random.nextDouble() < 1 - other.utilization() / own.utilization()
        && other.completionNanos() + CrossingCost.nanos(c.bodyBytes()) < own.completionNanos();
  }

  private static double freeSlots(ZoneLoad z) {
    return z.slots() * Math.max(0, FULL - z.utilization());
  }

  /** Share of one service, and the loads that it was last adapted to. */
  private static final class Spill {
    private double share;
    private ZoneLoad own = new ZoneLoad(new ZoneId("unknown"), 0, 0, 0, false);
    private List<ZoneLoad> others = List.of();
    private long updatedNanos;
    private long sentNanos;
    private boolean leaving;

    Spill(long nowNanos) {
      updatedNanos = nowNanos - INTERVAL_NANOS;
    }

    double freeSlots() {
      return others.stream().mapToDouble(ZoneSpill::freeSlots).sum();
    }

    /** Returns the mean utilization of the zones that report, weighted by slots. */
    double othersUtilization() {
      double slots = 0;
      double used = 0;
      for (ZoneLoad z : others) {
        slots += z.reported() ? z.slots() : 0;
        used += z.reported() ? z.slots() * z.utilization() : 0;
      }
      return slots > 0 ? used / slots : 0;
    }

    /**
     * Raises the share towards the one at which the own zone's utilization is the aim. The requests
     * of one interval change the utilization by the interval over the time that a request takes; so
     * does the share.
     */
    void rise() {
      double ratio = Math.min(MAX_STEP_RATIO, Math.max(1, own.utilization() / AIM));
      double gain = Math.min(1, INTERVAL_NANOS / Math.max(1, own.completionNanos()));
      double raised = 1 - (1 - share) * Math.pow(ratio, -gain);
      share = Math.max(raised, MIN_SHARE);
    }

    /** Returns the largest share: little is sent to zones that do not report. */
    double maxShare() {
      return others.stream().anyMatch(ZoneLoad::reported) ? 1 : MIN_SHARE;
    }

    void fall(double factor, double intervals) {
      share *= Math.pow(factor, intervals);
      share = share < MIN_SHARE / 2 ? 0 : share;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "share %.2f, own zone at %.2f, %.0f free slots in %d other zones",
          share,
          own.utilization(),
          freeSlots(),
          others.size());
    }
  }
}
