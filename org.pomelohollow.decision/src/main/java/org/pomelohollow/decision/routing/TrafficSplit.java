package org.pomelohollow.decision.routing;

import java.util.List;
import java.util.Optional;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.ServiceId;

/** Divides the requests of a service between groups of its members. */
public interface TrafficSplit {
  /** Divides nothing. */
  TrafficSplit NONE =
      new TrafficSplit() {
        @Override
        public Optional<Groups> split(
            ServiceId service, List<Member> serving, boolean retry, long nowNanos) {
          return Optional.empty();
        }

        @Override
        public List<Member> settled(ServiceId service, List<Member> serving) {
          return serving;
        }
      };

  /**
   * Chooses the group of an attempt.
   *
   * @param service service that is called
   * @param serving members that serve it
   * @param retry whether an earlier attempt of the request has failed
   * @param nowNanos current monotonic time, in nanoseconds
   * @return the groups, empty if the service is not divided
   */
  Optional<Groups> split(ServiceId service, List<Member> serving, boolean retry, long nowNanos);

  /**
   * Returns the members that get the requests of a service other than for a trial.
   *
   * @param service service that is called
   * @param serving members that serve it
   * @return some or all of these members
   */
  List<Member> settled(ServiceId service, List<Member> serving);

  /**
   * Groups of members that an attempt may go to.
   *
   * @param preferred members that it goes to if one is left
   * @param otherwise members that it goes to otherwise
   * @param spills whether it also goes to these if the chosen one has no free slot
   */
  record Groups(List<Member> preferred, List<Member> otherwise, boolean spills) {
    /** Copies the lists. */
    public Groups {
      preferred = List.copyOf(preferred);
      otherwise = List.copyOf(otherwise);
    }
  }
}
