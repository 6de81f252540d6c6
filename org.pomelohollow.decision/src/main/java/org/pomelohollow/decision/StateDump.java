package org.pomelohollow.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Readable snapshot of the state of one component.
 *
 * @param part name of the component
 * @param lines named values, in display order
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
   * @param part name of the component
   * @return a builder without lines
   */
  public static Builder of(String part) {
    return new Builder(part);
  }

  /**
   * One named value.
   *
   * @param name label of the value
   * @param value text form of the value
   */
  public record Line(String name, String value) {}

  /** Builds a dump line by line. */
  public static final class Builder {
    private final String part;
    private final List<Line> lines = new ArrayList<>();

    private Builder(String part) {
      this.part = part;
    }

    /**
     * Adds a line.
     *
     * @param name label of the value
     * @param value the value, converted by {@link String#valueOf(Object)}
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
