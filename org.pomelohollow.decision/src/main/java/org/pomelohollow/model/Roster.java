package org.pomelohollow.model;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Immutable view of the live members, this daemon included. */
public final class Roster {
  private final MemberId self;
  private final Map<MemberId, Member> members;

  private Roster(MemberId self, Map<MemberId, Member> members) {
    this.self = self;
    this.members = members;
  }

  /**
   * Creates a view.
   *
   * @param self this daemon
   * @param members live members
   * @return the view
   */
  public static Roster of(MemberId self, Collection<Member> members) {
    Map<MemberId, Member> m = new TreeMap<>();
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
   * Finds a member.
   *
   * @param id identity, not null
   * @return the member, if live
   */
  public Optional<Member> find(MemberId id) {
    return Optional.ofNullable(members.get(id));
  }

  /**
   * Returns the members whose targets accept new work of a service.
   *
   * @param service a service, not null
   * @return members in the order of their identities
   */
  public List<Member> servingMembers(ServiceId service) {
    return members.values().stream().filter(m -> m.serves(service)).toList();
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
}
