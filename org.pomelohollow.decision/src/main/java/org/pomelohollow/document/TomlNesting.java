package org.pomelohollow.document;

/**
 * Measures how deeply arrays and inline tables are nested in a TOML text, without recursion. The
 * result is exact for well-formed texts and an estimate for malformed ones.
 */
final class TomlNesting {
  private static final String MULTI_LINE_BASIC_DELIMITER = "\"\"\"";
  private static final String MULTI_LINE_LITERAL_DELIMITER = "'''";

  private final String text;
  private int position;

  private TomlNesting(String text) {
    this.text = text;
  }

  /**
   * Returns the greatest nesting depth of a text.
   *
   * @param text TOML text, well-formed or not
   * @return the depth in levels, 0 if the text has no brackets outside strings and comments
   */
  static int depth(String text) {
    return new TomlNesting(text).greatestDepth();
  }

  private int greatestDepth() {
    int depth = 0;
    int deepest = 0;
    while (position < text.length()) {
      char c = text.charAt(position);
      if (c == '[' || c == '{') {
        deepest = Math.max(deepest, ++depth);
      } else if (c == ']' || c == '}') {
        depth = Math.max(0, depth - 1);
      } else if (c == '"') {
        skipString(MULTI_LINE_BASIC_DELIMITER, true);
      } else if (c == '\'') {
        skipString(MULTI_LINE_LITERAL_DELIMITER, false);
      } else if (c == '#') {
        skipTo('\n');
      }
      position++;
    }
    return deepest;
  }

  /**
   * Moves to the last character of a string. An unterminated single-line string ends at the line
   * break.
   */
  private void skipString(String multiLineDelimiter, boolean hasEscapes) {
    boolean multiLine = text.startsWith(multiLineDelimiter, position);
    String delimiter = multiLine ? multiLineDelimiter : multiLineDelimiter.substring(0, 1);
    position += delimiter.length();
    while (position < text.length() && !text.startsWith(delimiter, position)) {
      char c = text.charAt(position);
      if (c == '\n' && !multiLine) {
        return;
      }
      position += hasEscapes && c == '\\' ? 2 : 1;
    }
    position += delimiter.length() - 1;
  }

  private void skipTo(char end) {
    int i = text.indexOf(end, position);
    position = i < 0 ? text.length() : i;
  }
}
