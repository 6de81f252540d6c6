package org.pomelohollow.model;

/**
 * Name of an availability zone.
 *
 * @param value non-empty name
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /** Checks the name. */
  public ZoneId {
    Names.check("availability zone", value);
  }

  @Override
  public int compareTo(ZoneId o) {
    return value.compareTo(o.value);
  }

  // Written out, since the compiler's own form is slow under the first-tier compiler.
  @Override
  public boolean equals(Object o) {
    return o instanceof ZoneId other && value.equals(other.value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }

  @Override
  public String toString() {
    return value;
  }
}
