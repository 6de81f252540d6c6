package org.pomelohollow.junit;

import java.util.ArrayList;
import java.util.List;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.message.PeerMessage;

/** Keeps the effects of controllers for tests to look at. */
public final class RecordedEffects implements EffectSink {
  private final List<Effect> all = new ArrayList<>();

  @Override
  public void emit(Effect effect) {
    all.add(effect);
  }

  /**
   * Removes and returns all effects of a kind, in order.
   *
   * @param <T> kind of effect
   * @param kind kind of effect
   * @return the effects
   */
  public <T extends Effect> List<T> take(Class<T> kind) {
    List<T> out = all.stream().filter(kind::isInstance).map(kind::cast).toList();
    all.removeAll(out);
    return out;
  }

  /**
   * Removes all sends and returns their messages of a kind, in order.
   *
   * @param <T> kind of message
   * @param kind kind of message
   * @return the messages
   */
  public <T extends PeerMessage> List<T> takeMessages(Class<T> kind) {
    return take(Effect.Send.class).stream()
        .map(Effect.Send::message)
        .filter(kind::isInstance)
        .map(kind::cast)
        .toList();
  }
}
