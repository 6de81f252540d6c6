package org.pomelohollow.document;

/**
 * Measures how deeply arrays and inline tables are nested in a TOML text, without recursion. Exact
 * for well-formed texts.
 */
final class TomlNesting {
  private static final String MULTI_LINE_BASIC = "\"\"\"";
  private static final String MULTI_LINE_LITERAL = "'''";

  private final String text;
  private int at;

  private TomlNesting(String text) {
    this.text = text;
  }

  /**
   * Measures a text.
   *
   * @param text TOML text, well-formed or not
   * @return the greatest depth, 0 without brackets
   */
  static int depth(String text) {
    return new TomlNesting(text).measure();
  }

  private int measure() {
    int depth = 0;
    int deepest = 0;
    while (at < text.length()) {
      char c = text.charAt(at);
      if (c == '[' || c == '{') {
        deepest = Math.max(deepest, ++depth);
      } else if (c == ']' || c == '}') {
        depth = Math.max(0, depth - 1);
      } else if (c == '"') {
        skipString(MULTI_LINE_BASIC, true);
      } else if (c == '\'') {
        skipString(MULTI_LINE_LITERAL, false);
      } else if (c == '#') {
        skipTo('\n');
      }
      at++;
    }
    return deepest;
  }

  /** Moves to the last character of a string, or of the line if a one-line string has no end. */
  private void skipString(String multiLineQuote, boolean escapes) {
    boolean multiLine = text.startsWith(multiLineQuote, at);
    String quote = multiLine ? multiLineQuote : multiLineQuote.substring(0, 1);
    at += quote.length();
    while (at < text.length() && !text.startsWith(quote, at)) {
      char c = text.charAt(at);
      if (c == '\n' && !multiLine) {
        return;
      }
      at += escapes && c == '\\' ? 2 : 1;
    }
    at += quote.length() - 1;
  }

  private void skipTo(char end) {
    int i = text.indexOf(end, at);
    at = i < 0 ? text.length() : i;
  }
}
