package org.pomelohollow.model;

/**
 * Name of an availability zone.
 *
 * @param value name that {@link Names#isValid} accepts
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /** Creates an identifier after checking the name. */
  public ZoneId {
    Names.check("availability zone", value);
  }

  @Override
  public int compareTo(ZoneId o) {
    return value.compareTo(o.value);
  }

  // Explicit, since the generated methods of records are slow in code compiled by the C1 compiler.
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
