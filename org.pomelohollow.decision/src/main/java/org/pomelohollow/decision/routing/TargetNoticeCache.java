package org.pomelohollow.decision.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetNotice;

/**
 * Last notice of the target of each host, as an entry daemon received it. A notice outlives the
 * incarnation of the host's daemon, whose successor learns it from here.
 */
public final class TargetNoticeCache {
  private static final int MAX_HOSTS = 4_096;

  private final Map<String, TargetNotice> noticesByHost =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TargetNotice> eldest) {
          return size() > MAX_HOSTS;
        }
      };

  /**
   * Returns the last notice of a member's target.
   *
   * @param member the member
   * @return the notice, empty if the target said nothing in its last response
   */
  public Optional<TargetNotice> get(MemberId member) {
    return Optional.ofNullable(noticesByHost.get(member.host()));
  }

  /**
   * Records what the last response of a member's target said.
   *
   * @param member the member
   * @param notice the notice, empty if the response said nothing
   */
  public void put(MemberId member, Optional<TargetNotice> notice) {
    if (notice.isPresent()) {
      noticesByHost.put(member.host(), notice.get());
    } else if (!noticesByHost.isEmpty()) {
      noticesByHost.remove(member.host());
    }
  }
}
