package org.pomelohollow.decision.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;

/**
 * Holds back versions that appear beside a serving one: their targets are often known before the
 * order that bounds what they may get.
 */
final class VersionHold {
  /** Time after which a version without an order is taken for a replacement without one. */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time from the first roster on in which members become known that were there before. */
  static final long LEARN_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Versions of each service that serve, with those that are held. */
  private final Map<ServiceId, Set<String>> seen = new HashMap<>();

  /** Versions that get nothing, with the time at which they appeared. */
  private final Map<ServiceId, Map<String, Long>> held = new HashMap<>();

  private Optional<Long> startNanos = Optional.empty();

  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Returns the versions of a service that get nothing while there are others. */
  Set<String> versions(ServiceId service) {
    Map<String, Long> versions = held.get(service);
    return versions == null ? Set.of() : versions.keySet();
  }

  /** Takes note of the versions that serve. */
  void update(Roster roster, long nowNanos) {
    long start = startNanos.orElse(nowNanos);
    startNanos = Optional.of(start);
    Set<ServiceId> services = new HashSet<>(seen.keySet());
    roster.members().forEach(m -> m.target().ifPresent(t -> services.add(t.service())));
    for (ServiceId s : services) {
      Set<String> serving =
          roster.servingMembers(s).stream().map(VersionGroups::version).collect(Collectors.toSet());
      if (!serving.isEmpty()) {
        update(s, serving, nowNanos - start < LEARN_NANOS, nowNanos);
      }
    }
  }

  private void update(ServiceId s, Set<String> serving, boolean learning, long nowNanos) {
    Set<String> before = seen.put(s, serving);
    Map<String, Long> h = held.getOrDefault(s, new HashMap<>());
    h.keySet().retainAll(serving);
    if (before != null && !learning && before.stream().anyMatch(serving::contains)) {
      serving.stream().filter(v -> !before.contains(v)).forEach(v -> h.put(v, nowNanos));
    }
    if (h.isEmpty() || h.size() == serving.size()) {
      held.remove(s); // Without another version there is nothing to hold it back for.
    } else {
      held.put(s, h);
    }
  }

  /** Releases versions whose time is over. */
  void tick(long nowNanos) {
    if (!held.isEmpty()) {
      held.values().forEach(h -> h.values().removeIf(at -> nowNanos - at >= HOLD_NANOS));
      held.values().removeIf(Map::isEmpty);
    }
  }
}
