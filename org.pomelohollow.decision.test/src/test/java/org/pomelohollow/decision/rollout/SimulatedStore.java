package org.pomelohollow.decision.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pomelohollow.model.ServiceId;

/** Store of statuses in which the first final state of an order stands. */
final class SimulatedStore {
  private final Map<ServiceId, RolloutStatus> newest = new TreeMap<>();
  private final List<Written> history = new ArrayList<>();
  private boolean up = true;

  void setUp(boolean isUp) {
    up = isUp;
  }

  /** Reads all states, empty if the store is away. */
  Optional<List<RolloutStatus>> read() {
    return up ? Optional.of(List.copyOf(newest.values())) : Optional.empty();
  }

  Optional<List<RolloutStatus>> write(RolloutStatus s, long nowMillis) {
    if (!up) {
      return Optional.empty();
    }
    RolloutStatus present = newest.get(s.service());
    boolean stands =
        present != null
            && present.orderId().equals(s.orderId())
            && (present.state().isFinal() || !s.state().isFinal());
    if (!stands) {
      newest.put(s.service(), s);
      history.add(new Written(s, nowMillis));
    }
    return read();
  }

  /** Returns the writes of an order, the first one first. */
  List<Written> written(String orderId) {
    return history.stream().filter(w -> w.status().orderId().equals(orderId)).toList();
  }

  /** A status and the time at which it was written, in milliseconds. */
  record Written(RolloutStatus status, long atMillis) {}
}
