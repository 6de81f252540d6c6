package org.pomelohollow.decision.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;

/** Notes in the log that two hosts seem to be configured with one name. */
final class DuplicateNames {
  private static final String PART = "members";
  private static final long OVERLAP_NANOS = 10_000_000_000L;
  private static final int MAX_NAMES = 64;

  private final MemberId self;
  private final EffectSink effects;
  private final Map<MemberId, Long> replacedSince = new HashMap<>();
  private final Set<MemberId> noted = new HashSet<>();

  DuplicateNames(MemberId self, EffectSink effects) {
    this.self = self;
    this.effects = effects;
  }

  /** Takes the name of a run that the log or a peer tells of. */
  void told(MemberId id) {
    if (id.replaces(self)) {
      note(id, "a later run " + id + " has the host name of this daemon");
    }
  }

  /** Takes a heartbeat; a replaced run that goes on sending them is no late message. */
  void heard(Member m, boolean replaced, long nowNanos) {
    told(m.id());
    if (!replaced || m.leaving() || replacedSince.size() >= MAX_NAMES) {
      return;
    }
    long since = replacedSince.computeIfAbsent(m.id(), k -> nowNanos);
    if (nowNanos - since >= OVERLAP_NANOS) {
      note(m.id(), m.id() + " at " + m.peer() + " goes on although a later run has its host name");
    }
  }

  private void note(MemberId id, String text) {
    if (noted.size() < MAX_NAMES && noted.add(id)) {
      effects.emit(new Effect.LogLine(PART, true, text));
    }
  }
}
