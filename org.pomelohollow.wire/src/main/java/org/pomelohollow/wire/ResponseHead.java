package org.pomelohollow.wire;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.TargetLoad;

/**
 * Head of a target's response to an attempt. The body follows in DATA frames.
 *
 * @param status HTTP status
 * @param headers header fields in the order of the response
 * @param load load report of the target's daemon
 */
public record ResponseHead(int status, List<HeaderField> headers, TargetLoad load) {
  /** Creates a head with an immutable copy of the header fields. */
  public ResponseHead {
    headers = List.copyOf(headers);
    Objects.requireNonNull(load, "load");
  }
}
