package org.pomelohollow.document;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.pomelohollow.errors.ErrorCode;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Converts a TOML text to a value and collects every mistake in it instead of the first only. */
public final class TomlReader {
  /** Maximum length of a text, in characters. */
  public static final int MAX_LENGTH = 1 << 19;

  private static final int MAX_NESTING = 16;

  private TomlReader() {}

  /**
   * Parses a text and builds a value from its top-level table.
   *
   * @param <T> type of the value
   * @param file file name that problems are reported with
   * @param text TOML text
   * @param construction builds the value from the top-level table; may return empty only after
   *     reporting a problem
   * @return the value, or the problems if there are any
   */
  public static <T> ParseResult<T> read(
      String file, String text, Function<TomlSection, Optional<T>> construction) {
    Optional<String> tooLarge = checkSize(text);
    if (tooLarge.isPresent()) {
      return failure(new Problem(file, "", 0, ErrorCode.TOML_OUT_OF_RANGE, tooLarge.get()));
    }
    return parse(text)
        .map(result -> build(file, result, construction))
        .orElseGet(
            () ->
                failure(
                    new Problem(file, "", 0, ErrorCode.TOML_SYNTAX, "cannot be parsed as TOML")));
  }

  /**
   * Parses a text. The parser reports most mistakes in its result, but throws on some malformed
   * escape sequences, and on malformed texts whose nesting depth {@link TomlNesting}
   * underestimates.
   */
  private static Optional<TomlParseResult> parse(String text) {
    try {
      return Optional.of(Toml.parse(text));
    } catch (RuntimeException | AssertionError | StackOverflowError e) {
      return Optional.empty();
    }
  }

  private static Optional<String> checkSize(String text) {
    if (text.length() > MAX_LENGTH) {
      return Optional.of(
          "has " + text.length() + " characters, at most " + MAX_LENGTH + " are allowed");
    }
    if (TomlNesting.depth(text) > MAX_NESTING) {
      return Optional.of("nests arrays and tables more than " + MAX_NESTING + " levels deep");
    }
    return Optional.empty();
  }

  private static <T> ParseResult<T> build(
      String file, TomlParseResult result, Function<TomlSection, Optional<T>> construction) {
    TomlProblems problems = new TomlProblems(file);
    result.errors().forEach(e -> addSyntaxProblem(problems, e));
    if (problems.count() > 0) {
      return new ParseResult<>(Optional.empty(), problems.inOrder());
    }
    Optional<T> value = construction.apply(new TomlSection("", 0, result, problems));
    return new ParseResult<>(problems.count() == 0 ? value : Optional.empty(), problems.inOrder());
  }

  private static void addSyntaxProblem(TomlProblems problems, TomlParseError e) {
    String message = String.valueOf(e.getMessage());
    boolean duplicate = message.contains("previously defined") || message.contains("already");
    ErrorCode code = duplicate ? ErrorCode.DOCUMENT_DUPLICATE : ErrorCode.TOML_SYNTAX;
    problems.add("", e.position().line(), code, message);
  }

  private static <T> ParseResult<T> failure(Problem p) {
    return new ParseResult<>(Optional.empty(), List.of(p));
  }
}
