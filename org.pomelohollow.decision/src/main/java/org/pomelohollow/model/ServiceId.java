package org.pomelohollow.model;

/**
 * Name of a service.
 *
 * @param value name that {@link Names#isValid} accepts
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Creates an identifier after checking the name. */
  public ServiceId {
    Names.check("service", value);
  }

  @Override
  public int compareTo(ServiceId o) {
    return value.compareTo(o.value);
  }

  // Explicit, since the generated methods of records are slow in code compiled by the C1 compiler.
  @Override
  public boolean equals(Object o) {
    return o instanceof ServiceId other && value.equals(other.value);
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
