package org.pomelohollow.wire;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetNotice;

/**
 * Head of a target's response to an attempt. The body follows in DATA frames.
 *
 * @param status HTTP status
 * @param headers header fields in the order of the response
 * @param load load report of the target's daemon
 * @param notice what the target has said of itself, empty if nothing
 */
public record ResponseHead(
    int status, List<HeaderField> headers, TargetLoad load, Optional<TargetNotice> notice) {
  /** Creates a head with an immutable copy of the header fields. */
  public ResponseHead {
    headers = List.copyOf(headers);
    Objects.requireNonNull(load, "load");
    Objects.requireNonNull(notice, "notice");
  }
}
