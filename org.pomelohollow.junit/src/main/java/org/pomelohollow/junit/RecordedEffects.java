package org.pomelohollow.junit;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.message.PeerMessage;

/** Records the effects that controllers emit, so that tests can check them. */
public final class RecordedEffects implements EffectSink {
  private final List<Effect> recorded = new ArrayList<>();

  @Override
  public void emit(Effect effect) {
    recorded.add(effect);
  }

  /**
   * Removes and returns all effects of a type, in the order in which they were emitted.
   *
   * @param <T> type of effect
   * @param type type of effect
   * @return the effects
   */
  public <T extends Effect> List<T> take(Class<T> type) {
    List<T> taken = recorded.stream().filter(type::isInstance).map(type::cast).toList();
    recorded.removeAll(taken);
    return taken;
  }

  /**
   * Removes all sends, of whatever message, and returns their messages of a type, in order.
   *
   * @param <T> type of message
   * @param type type of message
   * @return the messages
   */
  public <T extends PeerMessage> List<T> takeMessages(Class<T> type) {
    return take(Effect.Send.class).stream()
        .map(Effect.Send::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }
}
