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
 * Reads and validates the values of one table of a TOML file. Mistakes are collected as problems,
 * never thrown; the getter that finds one returns its fallback. {@link #rejectUnknownKeys()}
 * reports the keys that no getter was called for.
 */
public final class TomlSection {
  private final String path;
  private final int line;
  private final TomlTable table;
  private final TomlProblems problems;
  private final Set<String> requestedKeys = new LinkedHashSet<>();

  TomlSection(String path, int line, TomlTable table, TomlProblems problems) {
    this.path = path;
    this.line = line;
    this.table = table;
    this.problems = problems;
  }

  /** Returns the dotted key of this table in the file, empty for the top-level table. */
  public String path() {
    return path;
  }

  /** Returns the keys present in this table. */
  public Set<String> keys() {
    return table.keySet();
  }

  /**
   * Returns whether a key is present. The key then counts as known.
   *
   * @param key key in this table
   * @return true if the table has a value for the key
   */
  public boolean has(String key) {
    requestedKeys.add(key);
    return table.contains(List.of(key));
  }

  /**
   * Reads a required string.
   *
   * @param key key in this table
   * @return the value; an empty string, with a problem reported, if it is missing or not a string
   */
  public String requiredString(String key) {
    return findRequired(key, String.class, "a string").orElse("");
  }

  /**
   * Reads an optional string.
   *
   * @param key key in this table
   * @return the value; empty if absent, or, with a problem reported, not a string
   */
  public Optional<String> optionalString(String key) {
    return find(key, String.class, "a string");
  }

  /**
   * Reads a required string and converts it. An exception that the conversion throws is reported as
   * a problem of the key.
   *
   * @param <T> type of the value
   * @param key key in this table
   * @param conversion conversion that throws {@link PomelohollowException} for invalid input
   * @return the value; empty, with a problem reported, if it is missing or invalid
   */
  public <T> Optional<T> requiredValue(String key, Function<String, T> conversion) {
    return findRequired(key, String.class, "a string")
        .flatMap(s -> construct(key, () -> conversion.apply(s)));
  }

  /**
   * Reads an optional string that must be a valid name as defined by {@link Names#isValid}.
   *
   * @param key key in this table
   * @return the name; empty if absent, or, with a problem reported, invalid
   */
  public Optional<String> optionalName(String key) {
    return optionalString(key).filter(n -> checkName(key, n));
  }

  /**
   * Reads an array of strings that must be valid names as defined by {@link Names#isValid}.
   *
   * @param key key in this table
   * @return the valid names, empty if the array is absent
   */
  public List<String> names(String key) {
    return strings(key).stream().filter(n -> checkName(key, n)).toList();
  }

  /**
   * Reads an optional integer.
   *
   * @param key key in this table
   * @param fallback value to return if the key is absent or its value invalid
   * @param min smallest allowed value
   * @param max largest allowed value
   * @return the value or the fallback
   */
  public long integer(String key, long fallback, long min, long max) {
    return find(key, Long.class, "an integer")
        .filter(v -> checkRange(key, v, min, max))
        .orElse(fallback);
  }

  /**
   * Reads a required integer.
   *
   * @param key key in this table
   * @param min smallest allowed value, also the fallback
   * @param max largest allowed value
   * @return the value, or {@code min}, with a problem reported, if it is missing or invalid
   */
  public long requiredInteger(String key, long min, long max) {
    return findRequired(key, Long.class, "an integer")
        .filter(v -> checkRange(key, v, min, max))
        .orElse(min);
  }

  /**
   * Reads an optional integer or floating-point number.
   *
   * @param key key in this table
   * @param fallback value to return if the key is absent or its value invalid
   * @param min smallest allowed value
   * @param max largest allowed value
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
   * Reads an optional boolean.
   *
   * @param key key in this table
   * @param fallback value to return if the key is absent or its value invalid
   * @return the value or the fallback
   */
  public boolean flag(String key, boolean fallback) {
    return find(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads an array of strings.
   *
   * @param key key in this table
   * @return the elements that are strings; a problem is reported for any other
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
            "contains " + TomlProblems.truncate(String.valueOf(o)) + ", which is not a string");
      }
    }
    return out;
  }

  /**
   * Returns a reader of a table in this table.
   *
   * @param key key in this table
   * @return the table; empty if absent, or, with a problem reported, not a table
   */
  public Optional<TomlSection> section(String key) {
    return find(key, TomlTable.class, "a table").map(t -> child(key, t, lineOf(key)));
  }

  /**
   * Returns readers of all tables in a table, such as {@code [zones.a]} and {@code [zones.b]} in
   * {@code zones}.
   *
   * @param key key in this table
   * @return the tables with their keys, empty if the outer table is absent
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

  /** Returns readers of the first {@code max} tables in a table; reports a problem for more. */
  List<NamedSection> sections(String key, int max) {
    return firstOf(key, sections(key), max);
  }

  /** Returns readers of the first {@code max} tables of an array; reports a problem for more. */
  List<TomlSection> tables(String key, int max) {
    return firstOf(key, tables(key), max);
  }

  /** Returns whether a table in this table has a key, whether or not its value is valid. */
  boolean hasEntry(String table, String name) {
    return value(table) instanceof TomlTable t && t.contains(List.of(name));
  }

  /**
   * Returns readers of the tables of an array, such as {@code [[routes]]}.
   *
   * @param key key in this table
   * @return the tables in the order of the file, empty if the array is absent
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
        report(key, ErrorCode.TOML_WRONG_TYPE, "contains an element that is not a table");
      }
    }
    return out;
  }

  /** Reports a problem for every key of this table that no getter was called for. */
  public void rejectUnknownKeys() {
    for (String k : table.keySet()) {
      if (!requestedKeys.contains(k)) {
        report(k, ErrorCode.TOML_UNKNOWN_KEY, "is not a known key of this table");
      }
    }
  }

  /**
   * Builds a value whose constructor validates its arguments. An exception that it throws is
   * reported as a problem.
   *
   * @param <T> type of the value
   * @param key key that the problem is reported for, empty for this table
   * @param construction builds the value; throws {@link PomelohollowException} for invalid input
   * @return the value; empty, with a problem reported, if the input is invalid
   */
  public <T> Optional<T> construct(String key, Supplier<T> construction) {
    try {
      return Optional.of(construction.get());
    } catch (PomelohollowException e) {
      report(key, e.code(), e.getMessage());
      return Optional.empty();
    }
  }

  /**
   * Reports a problem.
   *
   * @param key key in this table, empty for the table itself
   * @param code stable error code
   * @param message what is wrong
   */
  public void report(String key, ErrorCode code, String message) {
    problems.add(dottedKey(key), lineOf(key), code, message);
  }

  /** Returns the number of problems reported so far for the whole file. */
  public int problemCount() {
    return problems.count();
  }

  private <T> List<T> firstOf(String key, List<T> all, int max) {
    if (all.size() <= max) {
      return all;
    }
    report(key, ErrorCode.TOML_OUT_OF_RANGE, "has " + all.size() + " entries, limit " + max);
    return all.subList(0, max);
  }

  private boolean checkName(String key, String name) {
    if (!Names.isValid(name)) {
      report(
          key,
          ErrorCode.TOML_OUT_OF_RANGE,
          "name \""
              + TomlProblems.truncate(name)
              + "\" is not 1 to "
              + Names.MAX_LENGTH
              + " ASCII letters, digits, dots, - and _");
      return false;
    }
    return true;
  }

  private TomlSection child(String key, TomlTable t, int childLine) {
    return new TomlSection(dottedKey(key), childLine, t, problems);
  }

  private boolean checkRange(String key, long v, long min, long max) {
    if (v < min || v > max) {
      report(key, ErrorCode.TOML_OUT_OF_RANGE, v + " is outside " + min + " to " + max);
      return false;
    }
    return true;
  }

  private <T> Optional<T> findRequired(String key, Class<T> type, String typeName) {
    if (value(key) == null) {
      report(key, ErrorCode.TOML_MISSING_KEY, "is missing");
      return Optional.empty();
    }
    return find(key, type, typeName);
  }

  private <T> Optional<T> find(String key, Class<T> type, String typeName) {
    Object v = value(key);
    if (v == null) {
      return Optional.empty();
    }
    if (!type.isInstance(v)) {
      report(key, ErrorCode.TOML_WRONG_TYPE, "is not " + typeName);
      return Optional.empty();
    }
    return Optional.of(type.cast(v));
  }

  private Object value(String key) {
    requestedKeys.add(key);
    return table.get(List.of(key));
  }

  private String dottedKey(String key) {
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
   * A table together with its key in the outer table.
   *
   * @param name key of the table
   * @param section the table
   */
  public record NamedSection(String name, TomlSection section) {}
}
