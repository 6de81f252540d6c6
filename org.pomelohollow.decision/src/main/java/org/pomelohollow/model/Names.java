package org.pomelohollow.model;

import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Rules for names in the document and in settings. */
public final class Names {
  /** Longest name, in characters. */
  public static final int MAX_LENGTH = 64;

  private Names() {}

  /**
   * Tells whether a name is well formed: 1 to {@value #MAX_LENGTH} ASCII letters, digits, dots,
   * hyphens and underscores.
   *
   * @param name candidate, may be null
   * @return true if well formed
   */
  public static boolean isValid(String name) {
    if (name == null || name.isEmpty() || name.length() > MAX_LENGTH) {
      return false;
    }
    return name.chars().allMatch(Names::isNameCharacter);
  }

  static void check(String what, String name) {
    if (!isValid(name)) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, what + " name " + quote(name) + " is not well formed");
    }
  }

  private static String quote(String name) {
    return name == null ? "null" : '"' + name + '"';
  }

  private static boolean isNameCharacter(int c) {
    boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    boolean digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.';
  }
}
