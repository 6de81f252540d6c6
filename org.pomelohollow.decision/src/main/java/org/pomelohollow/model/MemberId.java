package org.pomelohollow.model;

import java.util.Comparator;

/**
 * Identity of one run of a daemon. A host replaced under the same name has a higher incarnation.
 *
 * @param host host name from the settings
 * @param incarnation start time of the process, in milliseconds since the epoch
 */
public record MemberId(String host, long incarnation) implements Comparable<MemberId> {
  private static final Comparator<MemberId> ORDER =
      Comparator.comparing(MemberId::host).thenComparingLong(MemberId::incarnation);

  /** Checks the host name. */
  public MemberId {
    Names.check("host", host);
  }

  /**
   * Tells whether this is a later run on the same host.
   *
   * @param o another identity, not null
   * @return true if both name one host and this one started later
   */
  public boolean replaces(MemberId o) {
    return host.equals(o.host) && incarnation > o.incarnation;
  }

  @Override
  public int compareTo(MemberId o) {
    return ORDER.compare(this, o);
  }

  @Override
  public String toString() {
    return host + "#" + incarnation;
  }
}
