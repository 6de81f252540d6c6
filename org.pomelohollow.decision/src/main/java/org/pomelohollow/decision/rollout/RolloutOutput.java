package org.pomelohollow.decision.rollout;

import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/** Effects of roll-outs, and counts of their ends. */
final class RolloutOutput {
  private static final String PREFIX = "rollout";

  private final MemberId self;
  private final EffectSink effects;
  private long completed;
  private long rolledBack;

  RolloutOutput(MemberId self, EffectSink effects) {
    this.self = self;
    this.effects = effects;
  }

  void send(MemberId to, PeerMessage m) {
    effects.emit(new Effect.Send(to, m));
  }

  /** Sends a message to all other live members. */
  void broadcast(Roster roster, PeerMessage m) {
    roster.members().stream()
        .map(Member::id)
        .filter(id -> !id.equals(self))
        .forEach(id -> send(id, m));
  }

  void read() {
    effects.emit(new Effect.ReadRolloutStatus());
  }

  void write(RolloutStatus s) {
    effects.emit(new Effect.WriteRolloutStatus(s));
  }

  void ended(RolloutOrder o, RolloutState s, String reason) {
    if (s == RolloutState.COMPLETED) {
      completed++;
    } else {
      rolledBack++;
    }
    log(s == RolloutState.ROLLED_BACK, o, s + ", " + reason);
  }

  void log(boolean warning, RolloutOrder o, String text) {
    String line = o.service() + " to " + o.version() + " (order " + o.id() + "): " + text;
    effects.emit(new Effect.LogLine(PREFIX, warning, line));
  }

  long completed() {
    return completed;
  }

  long rolledBack() {
    return rolledBack;
  }
}
