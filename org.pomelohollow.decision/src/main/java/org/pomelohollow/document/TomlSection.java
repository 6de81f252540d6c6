package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Names;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one table of a TOML file with checks. Mistakes are collected, never thrown; a getter then
 * returns its fallback. Keys that no getter asked for are reported by {@link #rejectUnknownKeys()}.
 */
public final class TomlSection {
  /** Most problems that are kept of one file. */
  static final int MAX_PROBLEMS = 1_000;

  private static final int MAX_MESSAGE = 200;

  private final String file;
  private final String path;
  private final int line;
  private final TomlTable table;
  private final List<Problem> problems;
  private final Set<String> known = new LinkedHashSet<>();

  TomlSection(String file, String path, int line, TomlTable table, List<Problem> problems) {
    this.file = file;
    this.path = path;
    this.line = line;
    this.table = table;
    this.problems = problems;
  }

  /** Returns the dotted path of this table, empty at the top. */
  public String path() {
    return path;
  }

  /** Returns the keys present in this table. */
  public Set<String> keys() {
    return table.keySet();
  }

  /**
   * Tells whether a key is present.
   *
   * @param key key in this table
   * @return true if present
   */
  public boolean has(String key) {
    known.add(key);
    return table.contains(List.of(key));
  }

  /**
   * Reads a required string.
   *
   * @param key key in this table
   * @return the value, or an empty string after reporting a problem
   */
  public String string(String key) {
    return require(key, String.class, "a string").orElse("");
  }

  /**
   * Reads an optional string.
   *
   * @param key key in this table
   * @return the value, if present and a string
   */
  public Optional<String> optionalString(String key) {
    return find(key, String.class, "a string");
  }

  /**
   * Reads a string and converts it; an exception of the conversion becomes a problem at the key.
   *
   * @param <T> type of the value
   * @param key key in this table
   * @param conversion conversion that throws {@link PomelohollowException} on bad input
   * @return the value, if present and valid
   */
  public <T> Optional<T> convert(String key, Function<String, T> conversion) {
    return require(key, String.class, "a string")
        .flatMap(s -> attempt(key, () -> conversion.apply(s)));
  }

  /**
   * Reads an optional name, well formed by {@link Names#isValid}.
   *
   * @param key key in this table
   * @return the name, if present and valid
   */
  public Optional<String> name(String key) {
    return optionalString(key).filter(n -> isName(key, n));
  }

  /**
   * Reads an array of names, each well formed by {@link Names#isValid}.
   *
   * @param key key in this table
   * @return the valid names, empty if absent or wrong
   */
  public List<String> names(String key) {
    return strings(key).stream().filter(n -> isName(key, n)).toList();
  }

  /**
   * Reads an optional whole number.
   *
   * @param key key in this table
   * @param fallback value if absent or wrong
   * @param min least allowed value
   * @param max greatest allowed value
   * @return the value or the fallback
   */
  public long integer(String key, long fallback, long min, long max) {
    return find(key, Long.class, "a whole number")
        .filter(v -> inRange(key, v, min, max))
        .orElse(fallback);
  }

  /**
   * Reads a required whole number.
   *
   * @param key key in this table
   * @param min least allowed value, returned after reporting a problem
   * @param max greatest allowed value
   * @return the value
   */
  public long requiredInteger(String key, long min, long max) {
    return require(key, Long.class, "a whole number")
        .filter(v -> inRange(key, v, min, max))
        .orElse(min);
  }

  /**
   * Reads an optional number, whole or not.
   *
   * @param key key in this table
   * @param fallback value if absent or wrong
   * @param min least allowed value
   * @param max greatest allowed value
   * @return the value or the fallback
   */
  public double number(String key, double fallback, double min, double max) {
    Object v = value(key);
    if (v == null) {
      return fallback;
    }
    if (!(v instanceof Number n)) {
      report(key, ErrorCode.TOML_WRONG_TYPE, "is not a number");
      return fallback;
    }
    double d = n.doubleValue();
    if (!(d >= min && d <= max)) {
      report(key, ErrorCode.TOML_OUT_OF_RANGE, v + " is outside " + min + " to " + max);
      return fallback;
    }
    return d;
  }

  /**
   * Reads an optional flag.
   *
   * @param key key in this table
   * @param fallback value if absent or wrong
   * @return the value or the fallback
   */
  public boolean flag(String key, boolean fallback) {
    return find(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads an array of strings.
   *
   * @param key key in this table
   * @return the strings, empty if absent or wrong
   */
  public List<String> strings(String key) {
    Optional<TomlArray> array = find(key, TomlArray.class, "an array of strings");
    if (array.isEmpty()) {
      return List.of();
    }
    List<String> out = new ArrayList<>();
    for (Object o : array.get().toList()) {
      if (o instanceof String s) {
        out.add(s);
      } else {
        report(
            key,
            ErrorCode.TOML_WRONG_TYPE,
            "holds " + clip(String.valueOf(o)) + ", which is not a string");
      }
    }
    return out;
  }

  /**
   * Opens a table.
   *
   * @param key key in this table
   * @return the table, if present
   */
  public Optional<TomlSection> section(String key) {
    return find(key, TomlTable.class, "a table").map(t -> child(key, t, lineOf(key)));
  }

  /**
   * Opens every table below a table, such as {@code [zones.a]} and {@code [zones.b]} below {@code
   * zones}.
   *
   * @param key key in this table
   * @return the tables, empty if absent
   */
  public List<NamedSection> sections(String key) {
    List<NamedSection> out = new ArrayList<>();
    section(key)
        .ifPresent(
            s ->
                s.keys()
                    .forEach(k -> s.section(k).ifPresent(c -> out.add(new NamedSection(k, c)))));
    return out;
  }

  /** Opens every table below a table, up to a number of them. */
  List<NamedSection> sections(String key, int max) {
    return bounded(key, sections(key), max);
  }

  /** Opens an array of tables, up to a number of them. */
  List<TomlSection> tables(String key, int max) {
    return bounded(key, tables(key), max);
  }

  /** Tells whether a table below this one has a key, valid or not. */
  boolean defines(String table, String name) {
    return value(table) instanceof TomlTable t && t.contains(List.of(name));
  }

  /**
   * Opens an array of tables, such as {@code [[routes]]}.
   *
   * @param key key in this table
   * @return the tables, empty if absent
   */
  public List<TomlSection> tables(String key) {
    Optional<TomlArray> array = find(key, TomlArray.class, "an array of tables");
    if (array.isEmpty()) {
      return List.of();
    }
    List<TomlSection> out = new ArrayList<>();
    for (int i = 0; i < array.get().size(); i++) {
      if (array.get().get(i) instanceof TomlTable t) {
        out.add(child(key + "[" + i + "]", t, array.get().inputPositionOf(i).line()));
      } else {
        report(key, ErrorCode.TOML_WRONG_TYPE, "is not an array of tables");
      }
    }
    return out;
  }

  /** Reports every key of this table that no getter has asked for. */
  public void rejectUnknownKeys() {
    for (String k : table.keySet()) {
      if (!known.contains(k)) {
        report(k, ErrorCode.TOML_UNKNOWN_KEY, "is not known here");
      }
    }
  }

  /**
   * Builds a value whose constructor checks its arguments; its exception becomes a problem.
   *
   * @param <T> type of the value
   * @param key key to name in the problem, empty for the table itself
   * @param construction construction that throws {@link PomelohollowException} on bad input
   * @return the value, if valid
   */
  public <T> Optional<T> attempt(String key, Supplier<T> construction) {
    try {
      return Optional.of(construction.get());
    } catch (PomelohollowException e) {
      report(key, e.code(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Reports a mistake.
   *
   * @param key key in this table, empty for the table itself
   * @param code stable code
   * @param message what is wrong
   */
  public void report(String key, ErrorCode code, String message) {
    if (problems.size() < MAX_PROBLEMS) {
      problems.add(new Problem(file, clip(dotted(key)), lineOf(key), code, clip(message)));
    }
  }

  /** Returns the number of mistakes reported so far in the whole file. */
  public int problemCount() {
    return problems.size();
  }

  static String clip(String s) {
    return s.length() <= MAX_MESSAGE ? s : s.substring(0, MAX_MESSAGE) + "...";
  }

  private <T> List<T> bounded(String key, List<T> all, int max) {
    if (all.size() <= max) {
      return all;
    }
    report(key, ErrorCode.TOML_OUT_OF_RANGE, "has " + all.size() + " entries, more than " + max);
    return all.subList(0, max);
  }

  private boolean isName(String key, String name) {
    if (!Names.isValid(name)) {
      report(key, ErrorCode.TOML_OUT_OF_RANGE, "name \"" + clip(name) + "\" is not well formed");
      return false;
    }
    return true;
  }

  private TomlSection child(String key, TomlTable t, int at) {
    return new TomlSection(file, dotted(key), at, t, problems);
  }

  private boolean inRange(String key, long v, long min, long max) {
    if (v < min || v > max) {
      report(key, ErrorCode.TOML_OUT_OF_RANGE, v + " is outside " + min + " to " + max);
      return false;
    }
    return true;
  }

  private <T> Optional<T> require(String key, Class<T> type, String description) {
    if (value(key) == null) {
      report(key, ErrorCode.TOML_MISSING_KEY, "is missing");
      return Optional.empty();
    }
    return find(key, type, description);
  }

  private <T> Optional<T> find(String key, Class<T> type, String description) {
    Object v = value(key);
    if (v == null) {
      return Optional.empty();
    }
    if (!type.isInstance(v)) {
      report(key, ErrorCode.TOML_WRONG_TYPE, "is not " + description);
      return Optional.empty();
    }
    return Optional.of(type.cast(v));
  }

  private Object value(String key) {
    known.add(key);
    return table.get(List.of(key));
  }

  private String dotted(String key) {
    if (key.isEmpty()) {
      return path;
    }
    return path.isEmpty() ? key : path + "." + key;
  }

  private int lineOf(String key) {
    TomlPosition p = key.isEmpty() ? null : table.inputPositionOf(List.of(key));
    return p == null ? line : p.line();
  }

  /**
   * A table with its key.
   *
   * @param name key of the table
   * @param section the table
   */
  public record NamedSection(String name, TomlSection section) {}
}
