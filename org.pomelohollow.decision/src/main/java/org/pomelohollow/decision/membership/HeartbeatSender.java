package org.pomelohollow.decision.membership;

import java.util.Collection;
import java.util.OptionalLong;
import java.util.function.LongUnaryOperator;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.config.ConfigController;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;

/**
 * Composes and sends this daemon's heartbeats: regular ones, probes, which request a reply, and
 * replies, which acknowledge a heartbeat.
 */
final class HeartbeatSender {
  private static final long INTERVAL_NANOS = 400_000_000L;

  private final MemberTable table;
  private final ViewConfirmation view;
  private final ConfigController config;
  private final EffectSink effects;
  private final HeartbeatSendTimes sendTimes = new HeartbeatSendTimes();
  private long nextNanos;
  private long configVersionSent;
  private long confirmationsSent;

  /**
   * Creates a sender.
   *
   * @param table members, this daemon among them
   * @param view whether the members are confirmed; the roster digest is sent only then
   * @param config supplies the version and the age of the configuration
   * @param effects receives the messages
   */
  HeartbeatSender(
      MemberTable table, ViewConfirmation view, ConfigController config, EffectSink effects) {
    this.table = table;
    this.view = view;
    this.config = config;
    this.effects = effects;
  }

  /**
   * Schedules the first regular heartbeat.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @param jitter returns a random number from 0 to below its argument
   */
  void start(long nowNanos, LongUnaryOperator jitter) {
    nextNanos = nowNanos + jitter.applyAsLong(INTERVAL_NANOS);
  }

  /** Returns the sequence number of the next heartbeat. */
  long nextSequence() {
    return sendTimes.nextSequence();
  }

  /** Returns how long ago a heartbeat was sent; empty if it is unknown. */
  OptionalLong ageNanos(long sequence, long nowNanos) {
    return sendTimes.ageNanos(sequence, nowNanos);
  }

  /** Sends regular heartbeats to the neighbours if they are due or the configuration changed. */
  void tick(Collection<MemberId> neighbours, long nowNanos) {
    boolean news =
        config.version() != configVersionSent || config.confirmationCount() != confirmationsSent;
    if (nowNanos - nextNanos < 0 && !news) {
      return;
    }
    nextNanos = nowNanos + INTERVAL_NANOS;
    configVersionSent = config.version();
    confirmationsSent = config.confirmationCount();
    neighbours.forEach(id -> effects.emit(new Effect.Send(id, to(id, false, nowNanos))));
  }

  /** Sends a member a heartbeat that requests a reply. */
  void probe(MemberId id, long nowNanos) {
    effects.emit(new Effect.Send(id, to(id, true, nowNanos)));
  }

  /** Sends a heartbeat that requests a reply to an address whose member may be unknown. */
  void probe(Endpoint address, long nowNanos) {
    effects.emit(new Effect.SendToAddress(address, acknowledging(0, true, nowNanos)));
  }

  /**
   * Composes a heartbeat.
   *
   * @param acknowledgedSequence sequence number of the receiver's heartbeat that it acknowledges, 0
   *     for none
   * @param replyRequested whether the receiver is to reply
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the heartbeat, which must be sent
   */
  Heartbeat acknowledging(long acknowledgedSequence, boolean replyRequested, long nowNanos) {
    return new Heartbeat(
        table.own().member(),
        table.own().version(),
        sendTimes.recordNext(nowNanos),
        config.version(),
        view.isConfirmed() ? table.digest().total() : 0,
        config.configAgeMillis(nowNanos),
        replyRequested,
        acknowledgedSequence);
  }

  private Heartbeat to(MemberId id, boolean replyRequested, long nowNanos) {
    return acknowledging(
        table.find(id).map(MemberEntry::highestSequence).orElse(0L), replyRequested, nowNanos);
  }
}
