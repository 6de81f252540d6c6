package org.pomelohollow.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Readable state of one part.
 *
 * @param part name of the part
 * @param lines named values in order
 */
public record StateDump(String part, List<Line> lines) {
  /** Copies the lines. */
  public StateDump {
    Objects.requireNonNull(part, "part");
    lines = List.copyOf(lines);
  }

  /**
   * Starts a dump.
   *
   * @param part name of the part
   * @return a builder without lines
   */
  public static Builder of(String part) {
    return new Builder(part);
  }

  /**
   * One named value.
   *
   * @param name what the value is
   * @param value text form of the value
   */
  public record Line(String name, String value) {}

  /** Collects lines. */
  public static final class Builder {
    private final String part;
    private final List<Line> lines = new ArrayList<>();

    private Builder(String part) {
      this.part = part;
    }

    /**
     * Adds a value.
     *
     * @param name what the value is
     * @param value the value, shown by {@code toString}
     * @return this builder
     */
    public Builder line(String name, Object value) {
      lines.add(new Line(name, String.valueOf(value)));
      return this;
    }

    /** Returns the dump. */
    public StateDump build() {
      return new StateDump(part, lines);
    }
  }
}
