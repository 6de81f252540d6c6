package org.pomelohollow.decision;

/** Takes the effects of controllers, in order. */
@FunctionalInterface
public interface Effects {
  /**
   * Takes an effect. Returns at once; the effect is carried out later.
   *
   * @param effect the effect, not null
   */
  void emit(Effect effect);
}
