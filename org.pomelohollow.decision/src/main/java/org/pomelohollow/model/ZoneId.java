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

  @Override
  public String toString() {
    return value;
  }
}
