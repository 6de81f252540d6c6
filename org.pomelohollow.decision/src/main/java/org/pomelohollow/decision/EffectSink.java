package org.pomelohollow.decision;

/** Receives the effects that controllers emit, in the order of emission. */
@FunctionalInterface
public interface EffectSink {
  /**
   * Accepts an effect. Returns without blocking; the effect may be carried out later.
   *
   * @param effect the effect, not null
   */
  void emit(Effect effect);
}
