package org.pomelohollow.junit;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import org.pomelohollow.decision.Event;
import org.pomelohollow.document.Document;

/**
 * Store of the operators' documents in a simulation. Each daemon waits for the next version by a
 * long poll, which a silence ends for good until a read shows that it missed one.
 */
final class SimulatedDocuments {
  /** Any document will do: the versions differ. */
  static final Document DOCUMENT =
      new Document("test", List.of("normal"), Map.of(), Map.of(), List.of(), Map.of(), List.of());

  private static final long RESPONSE_NANOS = 5_000_000L;

  private final VirtualTime time;
  private final Set<SimulatedMember> polling = new LinkedHashSet<>();
  private final Map<SimulatedMember, Long> readVersions = new HashMap<>();
  private IntPredicate reachable = k -> true;
  private long version;
  private long reads;

  SimulatedDocuments(VirtualTime time) {
    this.time = time;
  }

  long version() {
    return version;
  }

  /** Returns the number of reads apart from the long polls that reached the store. */
  long reads() {
    return reads;
  }

  void setReachable(IntPredicate reachable) {
    this.reachable = reachable;
  }

  /** Silences the long polls that are open. */
  void silence() {
    polling.clear();
  }

  /** Publishes the next version, and returns it to those that wait for it. */
  void publish() {
    version++;
    List.copyOf(polling).forEach(this::respond);
  }

  /** Starts to follow the documents on behalf of a daemon. */
  void follow(SimulatedMember d) {
    polling.add(d);
    if (version > 0) {
      respond(d);
    }
  }

  /** Reads on behalf of a daemon, on a connection of its own. */
  void confirm(SimulatedMember d) {
    if (!reachable.test(d.number())) {
      return;
    }
    reads++;
    if (readVersions.getOrDefault(d, 0L) < version) {
      polling.add(d);
      respond(d);
    } else {
      long askedNanos = time.nowNanos();
      long confirmed = version;
      time.schedule(
          RESPONSE_NANOS,
          () -> d.deliver(new Event.DocumentConfirmed(confirmed, askedNanos), time.nowNanos()));
    }
  }

  private void respond(SimulatedMember d) {
    if (reachable.test(d.number())) {
      readVersions.put(d, version);
      Event e = new Event.DocumentPublished(version, Long.toString(version), "");
      time.schedule(RESPONSE_NANOS, () -> d.deliver(e, time.nowNanos()));
    }
  }

  /** Reads any text as the same document. */
  static Optional<Document> readDocument(String text) {
    return Optional.of(DOCUMENT);
  }
}
