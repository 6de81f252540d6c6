package org.pomelohollow.decision.membership;

import java.util.List;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Publishes the live members that this daemon can reach as a {@link Roster}: at once if members or
 * their states have changed, at intervals if only limits of targets have.
 */
final class RosterPublisher {
  /** Least time between rosters that differ only in the limits of targets. */
  private static final long LIMIT_PUBLISH_INTERVAL_NANOS = 1_000_000_000L;

  private final MemberId self;
  private final MemberTable table;
  private final ViewConfirmation view;
  private final EffectSink effects;
  private Roster published;
  private boolean routingChanged;
  private boolean limitChanged;
  private boolean publishedConfirmed;
  private long publishedRevision = -1;
  private long publishedAtNanos;

  /**
   * Creates a publisher whose roster holds only this daemon.
   *
   * @param self this daemon
   * @param table members to publish
   * @param view whether the members are confirmed
   * @param effects receives the event of each new roster
   */
  RosterPublisher(Member self, MemberTable table, ViewConfirmation view, EffectSink effects) {
    this.self = self.id();
    this.table = table;
    this.view = view;
    this.effects = effects;
    this.published = Roster.of(self.id(), List.of(self));
  }

  /** Returns the roster that was published last. */
  Roster published() {
    return published;
  }

  /** Starts the interval after which changed limits are published. */
  void start(long nowNanos) {
    publishedAtNanos = nowNanos;
  }

  /**
   * Records a change that the table's revision does not show and that matters for routing at once.
   *
   * @param changed whether there was such a change
   */
  void recordRoutingChange(boolean changed) {
    routingChanged |= changed;
  }

  /**
   * Records a change of a target's limit.
   *
   * @param changed whether there was such a change
   */
  void recordLimitChange(boolean changed) {
    limitChanged |= changed;
  }

  /** Publishes a new roster if one is due. */
  void publish(long nowNanos) {
    boolean urgent =
        routingChanged
            || publishedRevision != table.revision()
            || publishedConfirmed != view.isConfirmed();
    boolean limitsDue = limitChanged && nowNanos - publishedAtNanos >= LIMIT_PUBLISH_INTERVAL_NANOS;
    if (!urgent && !limitsDue) {
      return;
    }
    routingChanged = false;
    limitChanged = false;
    publishedRevision = table.revision();
    publishedConfirmed = view.isConfirmed();
    publishedAtNanos = nowNanos;
    published = Roster.of(self, publishableMembers());
    effects.emit(new Effect.RaiseEvent(new Event.RosterChanged(published)));
  }

  private List<Member> publishableMembers() {
    return table.live().stream()
        .filter(e -> e == table.own() || isPublishable(e))
        .map(MemberEntry::member)
        .toList();
  }

  private boolean isPublishable(MemberEntry e) {
    return !e.isUnreachable() && (view.isConfirmed() || e.isConfirmedIn(view.epoch()));
  }
}
