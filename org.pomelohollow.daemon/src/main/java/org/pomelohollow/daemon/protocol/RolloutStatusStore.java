package org.pomelohollow.daemon.protocol;

import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.rollout.RolloutStatus;

/** Keeps the states of roll-outs in the platform's store. Called on the event loop. */
public interface RolloutStatusStore {
  /** Store of a deployment without roll-outs. */
  RolloutStatusStore NONE =
      new RolloutStatusStore() {
        @Override
        public void read() {}

        @Override
        public void write(RolloutStatus status) {}
      };

  /** Reads the states, as {@link Effect.ReadRolloutStatus} requests. */
  void read();

  /**
   * Writes a state, as {@link Effect.WriteRolloutStatus} requests.
   *
   * @param status the state
   */
  void write(RolloutStatus status);
}
