package org.pomelohollow.wire;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.TargetLoad;

/**
 * Starts the answer of a target; its body follows in DATA frames.
 *
 * @param status HTTP status
 * @param headers header fields in order
 * @param load load of the target's daemon
 */
public record AnswerHead(int status, List<HeaderField> headers, TargetLoad load) {
  /** Copies the list. */
  public AnswerHead {
    headers = List.copyOf(headers);
    Objects.requireNonNull(load, "load");
  }
}
