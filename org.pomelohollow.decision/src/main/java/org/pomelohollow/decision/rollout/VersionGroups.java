package org.pomelohollow.decision.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.pomelohollow.document.RolloutOrder;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.StableHash;
import org.pomelohollow.model.TargetState;

/**
 * Members of a service by version.
 *
 * @param fresh members of the ordered version
 * @param old members of other versions
 */
record VersionGroups(List<Member> fresh, List<Member> old) {
  /** Part of a target that a share must fill at least for one more target in the canary. */
  private static final double ROUNDING = 0.25;

  /**
   * Groups members.
   *
   * @param order the order
   * @param abandoned versions whose orders were never completed; they get nothing while there are
   *     others
   * @param serving members that serve the service
   */
  static VersionGroups of(RolloutOrder order, Set<String> abandoned, List<Member> serving) {
    List<Member> fresh = new ArrayList<>();
    List<Member> old = new ArrayList<>();
    for (Member m : without(abandoned, serving)) {
      (version(m).equals(order.version()) ? fresh : old).add(m);
    }
    return new VersionGroups(fresh, old);
  }

  /** Returns the members of other versions than these; all members if there are no others. */
  static List<Member> without(Set<String> abandoned, List<Member> serving) {
    if (abandoned.isEmpty()) {
      return serving;
    }
    List<Member> others = serving.stream().filter(m -> !abandoned.contains(version(m))).toList();
    return others.isEmpty() ? serving : others;
  }

  static String version(Member m) {
    return m.target().flatMap(TargetState::version).orElse("");
  }

  /**
   * Returns the members of the new version that a share goes to: as few as bear it at the load of
   * an old target, since some versions are bad under load only.
   */
  List<Member> canary(RolloutAnnouncement a) {
    if (a.share() >= 1 || fresh.size() <= 1) {
      return fresh;
    }
    Comparator<Member> order =
        Comparator.<Member>comparingLong(m -> StableHash.of(a.orderId() + "/" + m.id().host()))
            .thenComparing(Member::id);
    List<Member> ranked =
        fresh.stream()
            .filter(m -> !a.avoidedHosts().contains(m.id().host()))
            .sorted(order)
            .toList();
    if (ranked.isEmpty()) {
      return fresh;
    }
    double needed = a.share() * slots(old) * fresh.size() / Math.max(1.0, slots(fresh));
    int count = Math.max(1, Math.min(ranked.size(), (int) (needed + ROUNDING)));
    List<Member> out = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      out.add(ranked.get(Math.floorMod(a.rotation() * count + i, ranked.size())));
    }
    return out;
  }

  private static int slots(List<Member> members) {
    return members.stream().mapToInt(m -> m.target().map(TargetState::slots).orElse(0)).sum();
  }
}
