package org.pomelohollow.model;

import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Syntax rules for names in the configuration document and in the settings of a daemon. */
public final class Names {
  /** Maximum length of a name, in characters. */
  public static final int MAX_LENGTH = 64;

  private Names() {}

  /**
   * Returns whether a name is valid: 1 to {@value #MAX_LENGTH} ASCII letters, digits, dots, hyphens
   * and underscores.
   *
   * @param name candidate, may be null
   * @return true if valid
   */
  public static boolean isValid(String name) {
    if (name == null || name.isEmpty() || name.length() > MAX_LENGTH) {
      return false;
    }
    for (int i = 0; i < name.length(); i++) {
      if (!isNameCharacter(name.charAt(i))) {
        return false;
      }
    }
    return true;
  }

  /** Throws an exception, whose message targets may see in a response, if a name is invalid. */
  static void check(String kind, String name) {
    if (!isValid(name)) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, kind + " name " + quote(name) + " is not well formed");
    }
  }

  private static String quote(String name) {
    return name == null ? "null" : '"' + name + '"';
  }

  private static boolean isNameCharacter(char c) {
    boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    boolean digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.';
  }
}
