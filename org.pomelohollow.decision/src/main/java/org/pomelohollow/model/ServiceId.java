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

  @Override
  public String toString() {
    return value;
  }
}
