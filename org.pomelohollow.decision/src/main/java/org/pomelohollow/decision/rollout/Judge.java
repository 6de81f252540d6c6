package org.pomelohollow.decision.rollout;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Judges the new version of an order, and tells a bad version from a single bad target: a target
 * that is slow or broken while the others of its version are good does not make the version bad.
 */
final class Judge {
  /** Responses of the other targets from which they are judged. */
  private static final int MIN_OTHERS = 12;

  /** Bad responses from which a version is bad even if all are of one target. */
  private static final int BAD_ALONE = 30;

  private final Evidence evidence;
  private final Predicate<Evidence.Target> isNew;

  /** Hosts of the new version's targets that are left out of the judgement. */
  private final Set<String> outliers = new HashSet<>();

  /** Hosts whose targets get no canary requests for now. */
  private final Set<String> avoided = new HashSet<>();

  Judge(Evidence evidence, Predicate<Evidence.Target> isNew) {
    this.evidence = evidence;
    this.isNew = isNew;
  }

  /** Returns the hosts whose targets get nothing while there are others. */
  Set<String> avoidedHosts() {
    return avoided;
  }

  /** Judges the new version. */
  VersionComparison.Judgement judge(VersionComparison comparison, long nowNanos) {
    VersionComparison.Judgement j = comparison.judge(spans(this::isIncluded, nowNanos));
    if (!j.bad()) {
      return j;
    }
    List<Evidence.Target> all = evidence.targetsWithResponses(this::isIncluded);
    List<Evidence.Target> bad =
        all.stream().filter(t -> judgeOne(comparison, t, nowNanos).bad()).toList();
    boolean others =
        evidence.freshTargets(this::isIncluded, nowNanos).stream().anyMatch(t -> !bad.contains(t));
    if (bad.size() != 1 || !others || !outliers.isEmpty()) {
      return j;
    }
    Evidence.Target worst = bad.get(0);
    VersionComparison.Judgement rest =
        comparison.judge(spans(t -> isIncluded(t) && !t.equals(worst), nowNanos));
    if (rest.bad() || (rest.responses() < MIN_OTHERS && j.badResponses() >= BAD_ALONE)) {
      return j;
    }
    avoided.add(worst.member().host());
    if (rest.responses() >= MIN_OTHERS && !rest.suspicious()) {
      outliers.add(worst.member().host());
      return rest;
    }
    return new VersionComparison.Judgement(
        false, true, rest.responses(), rest.timed(), j.badResponses(), rest.leastOnRoute(), "");
  }

  private VersionComparison.Judgement judgeOne(
      VersionComparison comparison, Evidence.Target t, long nowNanos) {
    return comparison.judge(spans(t::equals, nowNanos));
  }

  private Evidence.Spans spans(Predicate<Evidence.Target> p, long nowNanos) {
    return evidence.spans(p, nowNanos);
  }

  private boolean isIncluded(Evidence.Target t) {
    return isNew.test(t) && !outliers.contains(t.member().host());
  }
}
