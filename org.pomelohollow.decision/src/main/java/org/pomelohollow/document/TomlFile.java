package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.pomelohollow.errors.ErrorCode;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads a TOML text into a value and reports every mistake at once. */
public final class TomlFile {
  private TomlFile() {}

  /**
   * Reads a text.
   *
   * @param <T> type of the value
   * @param file name for problems
   * @param text TOML text
   * @param construction reads the top table; may return empty only after reporting a problem
   * @return the value or the problems
   */
  public static <T> Parsed<T> read(
      String file, String text, Function<TomlSection, Optional<T>> construction) {
    TomlParseResult result = Toml.parse(text);
    List<Problem> problems = new ArrayList<>();
    for (TomlParseError e : result.errors()) {
      problems.add(
          new Problem(file, "", e.position().line(), ErrorCode.TOML_SYNTAX, e.getMessage()));
    }
    if (!problems.isEmpty()) {
      return new Parsed<>(Optional.empty(), problems);
    }
    TomlSection top = new TomlSection(file, "", 0, result, problems);
    Optional<T> value = construction.apply(top);
    return new Parsed<>(problems.isEmpty() ? value : Optional.empty(), problems);
  }
}
