package org.pomelohollow.decision.guard;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.HeaderField;

/**
 * A target's whole answer, kept for resends of the request.
 *
 * @param status HTTP status
 * @param headers header fields in order
 * @param body body in Base64
 */
public record RecordedResponse(int status, List<HeaderField> headers, String body) {
  /** Copies the list. */
  public RecordedResponse {
    headers = List.copyOf(headers);
    Objects.requireNonNull(body, "body");
  }

  /**
   * Finds a header.
   *
   * @param name name in any case
   * @return the first value
   */
  public Optional<String> header(String name) {
    return headers.stream()
        .filter(f -> f.name().equalsIgnoreCase(name))
        .map(HeaderField::value)
        .findFirst();
  }
}
