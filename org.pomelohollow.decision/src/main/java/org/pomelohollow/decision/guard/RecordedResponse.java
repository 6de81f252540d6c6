package org.pomelohollow.decision.guard;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.HeaderField;

/**
 * A complete response of a target, recorded for resends of the request.
 *
 * @param status HTTP status
 * @param headers header fields, in order
 * @param body body in Base64
 */
public record RecordedResponse(int status, List<HeaderField> headers, String body) {
  /** Copies the list. */
  public RecordedResponse {
    headers = List.copyOf(headers);
    Objects.requireNonNull(body, "body");
  }

  /**
   * Finds a header field.
   *
   * @param name name of the field, matched without regard to case
   * @return value of the first field with the name
   */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(f -> f.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
