package org.pomelohollow.model;

/**
 * Name of a service.
 *
 * @param value non-empty name
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
  /** Checks the name. */
  public ServiceId {
    Names.check("service", value);
  }

  @Override
  public int compareTo(ServiceId o) {
    return value.compareTo(o.value);
  }

  // Written out, since the compiler's own form is slow under the first-tier compiler.
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
