package org.pomelohollow.model;

import java.util.Objects;

/**
 * One header field of an HTTP request or response.
 *
 * @param name name of the field as sent
 * @param value value of the field as sent
 */
public record HeaderField(String name, String value) {
  /** Creates a header field; no component may be null. */
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
