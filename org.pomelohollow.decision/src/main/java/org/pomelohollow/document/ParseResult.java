package org.pomelohollow.document;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Result of reading a TOML text: either a value, or every mistake found.
 *
 * @param <T> type of the value
 * @param value the value, empty if there are problems
 * @param problems every mistake in the order of the file, empty if there is a value
 */
public record ParseResult<T>(Optional<T> value, List<Problem> problems) {
  /** Creates a result with exactly one of value and problems; copies the list. */
  public ParseResult {
    Objects.requireNonNull(value, "value");
    problems = List.copyOf(problems);
    if (value.isPresent() != problems.isEmpty()) {
      throw new IllegalArgumentException(
          "has a value: "
              + value.isPresent()
              + ", and problems "
              + problems
              + "; needs exactly one");
    }
  }
}
