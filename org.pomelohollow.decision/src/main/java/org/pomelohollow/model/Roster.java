package org.pomelohollow.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** Immutable snapshot of the live members, including this daemon. */
public final class Roster {
  private final MemberId self;
  private final SortedMap<MemberId, Member> members;
  private final Map<ServiceId, List<Member>> membersByService;

  private Roster(MemberId self, SortedMap<MemberId, Member> members) {
    this.self = self;
    this.members = members;
    this.membersByService = indexByService(members.values());
  }

  /**
   * Creates a roster.
   *
   * @param self identity of this daemon
   * @param members the live members
   * @return the roster
   */
  public static Roster of(MemberId self, Collection<Member> members) {
    SortedMap<MemberId, Member> m = new TreeMap<>();
    members.forEach(e -> m.put(e.id(), e));
    return new Roster(self, m);
  }

  /** Returns the identity of this daemon. */
  public MemberId self() {
    return self;
  }

  /** Returns the members in the order of their identities. */
  public Collection<Member> members() {
    return Collections.unmodifiableCollection(members.values());
  }

  /**
   * Finds a member by its identity.
   *
   * @param id the identity, not null
   * @return the member, empty if it is not live
   */
  public Optional<Member> find(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Returns the members that accept new requests for a service. Constant time: the index is built
   * on creation.
   *
   * @param service the service, not null
   * @return an immutable list in the order of the identities
   */
  public List<Member> servingMembers(ServiceId service) {
    return membersByService.getOrDefault(service, List.of());
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof Roster r && r.self.equals(self) && r.members.equals(members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }

  @Override
  public String toString() {
    return members.values().toString();
  }

  private static Map<ServiceId, List<Member>> indexByService(Collection<Member> members) {
    Map<ServiceId, List<Member>> out = new HashMap<>();
    for (Member m : members) {
      m.target()
          .map(TargetState::service)
          .filter(m::serves)
          .ifPresent(s -> out.computeIfAbsent(s, k -> new ArrayList<>()).add(m));
    }
    out.replaceAll((s, list) -> List.copyOf(list));
    return out;
  }
}
