package org.pomelohollow.document;

import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Range checks for the components of the document's records. */
final class Ranges {
  private Ranges() {}

  static void check(String field, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, field + " " + value + " is outside " + min + " to " + max);
    }
  }

  static void check(String field, long value, long min, long max) {
    if (value < min || value > max) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, field + " " + value + " is outside " + min + " to " + max);
    }
  }
}
