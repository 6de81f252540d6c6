package org.pomelohollow.model;

import java.util.Comparator;

/**
 * Identity of one incarnation of a daemon. A restart, or a replacement of the host under the same
 * name, yields a higher incarnation.
 *
 * @param host host name from the settings
 * @param incarnation start time of the process, in milliseconds since the epoch
 */
public record MemberId(String host, long incarnation) implements Comparable<MemberId> {
  private static final int HASH_FACTOR = 31;
  private static final Comparator<MemberId> ORDER =
      Comparator.comparing(MemberId::host).thenComparingLong(MemberId::incarnation);

  /** Creates an identity after checking the host name. */
  public MemberId {
    Names.check("host", host);
  }

  /**
   * Returns whether this is a later incarnation on the same host.
   *
   * @param o another identity, not null
   * @return true if both have the same host and this one started later
   */
  public boolean replaces(MemberId o) {
    return host.equals(o.host) && incarnation > o.incarnation;
  }

  @Override
  public int compareTo(MemberId o) {
    return ORDER.compare(this, o);
  }

  // Explicit, since the generated methods of records are slow in code compiled by the C1 compiler.
  @Override
  public boolean equals(Object o) {
    return o instanceof MemberId other
        && incarnation == other.incarnation
        && host.equals(other.host);
  }

  @Override
  public int hashCode() {
    return HASH_FACTOR * host.hashCode() + Long.hashCode(incarnation);
  }

  @Override
  public String toString() {
    return host + "#" + incarnation;
  }
}
