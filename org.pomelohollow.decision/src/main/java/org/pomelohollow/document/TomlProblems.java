package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.pomelohollow.errors.ErrorCode;

/** Problems found in one TOML file, bounded in number and length. */
final class TomlProblems {
  /** Maximum number of problems that are kept; further ones are dropped. */
  private static final int MAX_PROBLEMS = 1_000;

  /** Maximum length of a key or message in a problem, in characters. */
  private static final int MAX_TEXT_LENGTH = 200;

  private final String file;
  private final List<Problem> problems = new ArrayList<>();

  /**
   * Creates an empty list.
   *
   * @param file file name that the problems are reported with
   */
  TomlProblems(String file) {
    this.file = file;
  }

  /**
   * Adds a problem, unless there are {@value #MAX_PROBLEMS} already.
   *
   * @param key dotted key in the file, empty for the file itself
   * @param line line in the file, counted from 1; 0 for the file itself
   * @param code stable error code
   * @param message what is wrong
   */
  void add(String key, int line, ErrorCode code, String message) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new Problem(file, truncate(key), line, code, truncate(message)));
    }
  }

  int count() {
    return problems.size();
  }

  /** Returns the problems in the order of their lines. */
  List<Problem> inOrder() {
    return problems.stream().sorted(Comparator.comparingInt(Problem::line)).toList();
  }

  /** Shortens a text to the maximum length of a message. */
  static String truncate(String s) {
    return s.length() <= MAX_TEXT_LENGTH ? s : s.substring(0, MAX_TEXT_LENGTH) + "...";
  }
}
