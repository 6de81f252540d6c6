package org.pomelohollow.model;

import java.util.Objects;

/**
 * One header field of a request or an answer.
 *
 * @param name name as sent
 * @param value value as sent
 */
public record HeaderField(String name, String value) {
  /** Checks the fields. */
  public HeaderField {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
