package org.pomelohollow.document;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/**
 * Pattern of a path: literal segments, {@code {name}} for any one segment, and {@code **} at the
 * end for any rest. A literal segment takes precedence over {@code {name}}, that over {@code **};
 * the leftmost difference decides.
 */
public final class PathPattern implements Comparable<PathPattern> {
  private static final String REST = "**";
  private static final int MAX_LENGTH = 512;

  /** Characters of a segment, percent-encoded ones included, other than dot segments. */
  private static final Pattern LITERAL =
      Pattern.compile("(?!\\.\\.?$)[A-Za-z0-9._~!$&'()+,;=:@%-]*");

  private final String text;
  private final List<String> segments;
  private final boolean open;

  private PathPattern(String text, List<String> segments, boolean open) {
    this.text = text;
    this.segments = segments;
    this.open = open;
  }

  /**
   * Returns a pattern that matches every path with a prefix, character by character.
   *
   * @param prefix text that starts and ends with a slash, not null
   * @return the pattern
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if it does not
   */
  public static PathPattern ofPrefix(String prefix) {
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw malformed(prefix, "does not start and end with a slash");
    }
    List<String> parts = split(prefix);
    return new PathPattern(prefix + REST, List.copyOf(parts.subList(0, parts.size() - 1)), true);
  }

  /**
   * Parses a pattern.
   *
   * @param text pattern that starts with a slash, not null
   * @return the pattern
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if malformed
   */
  public static PathPattern parse(String text) {
    Objects.requireNonNull(text, "text");
    if (!text.startsWith("/")) {
      throw malformed(text, "does not start with a slash");
    }
    if (text.length() > MAX_LENGTH) {
      throw malformed(text.substring(0, MAX_LENGTH), "is longer than " + MAX_LENGTH);
    }
    if (text.contains("//")) {
      throw malformed(text, "has an empty segment");
    }
    List<String> parts = split(text);
    boolean open = parts.get(parts.size() - 1).equals(REST);
    List<String> fixed = open ? parts.subList(0, parts.size() - 1) : parts;
    for (String s : fixed) {
      checkSegment(text, s);
    }
    return new PathPattern(text, List.copyOf(fixed), open);
  }

  /**
   * Tells whether a path matches.
   *
   * @param path path without query, starting with a slash, not null
   * @return true if it matches
   */
  public boolean matches(String path) {
    if (!path.startsWith("/")) {
      return false;
    }
    List<String> parts = split(path);
    if (open ? parts.size() < segments.size() : parts.size() != segments.size()) {
      return false;
    }
    for (int i = 0; i < segments.size(); i++) {
      if (!segmentMatches(segments.get(i), parts.get(i))) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the text that every matching path starts with, if the pattern is such a text and {@code
   * **}.
   *
   * @return a prefix that starts and ends with a slash
   */
  public Optional<String> literalPrefix() {
    if (!open || segments.stream().anyMatch(PathPattern::isVariable)) {
      return Optional.empty();
    }
    return Optional.of(text.substring(0, text.length() - REST.length()));
  }

  /**
   * Tells whether this and another pattern have equal precedence and match a common path.
   *
   * @param o another pattern, not null
   * @return true if neither takes precedence on some path
   */
  public boolean overlaps(PathPattern o) {
    return compareTo(o) == 0 && matchesCommonPath(o);
  }

  /** Orders patterns by precedence, the one that applies first being the smaller. */
  @Override
  public int compareTo(PathPattern o) {
    int n = Math.max(segments.size(), o.segments.size());
    for (int i = 0; i < n; i++) {
      int c = Integer.compare(rank(i), o.rank(i));
      if (c != 0) {
        return c;
      }
    }
    return Boolean.compare(open, o.open);
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof PathPattern p && p.text.equals(text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  @Override
  public String toString() {
    return text;
  }

  private boolean matchesCommonPath(PathPattern o) {
    for (int i = 0; i < Math.min(segments.size(), o.segments.size()); i++) {
      String a = segments.get(i);
      String b = o.segments.get(i);
      if (!isVariable(a) && !isVariable(b) && !a.equals(b)) {
        return false;
      }
    }
    return segments.size() == o.segments.size()
        || (open && segments.size() < o.segments.size())
        || (o.open && o.segments.size() < segments.size());
  }

  private int rank(int i) {
    if (i >= segments.size()) {
      return 2;
    }
    return isVariable(segments.get(i)) ? 1 : 0;
  }

  private static boolean segmentMatches(String pattern, String segment) {
    return isVariable(pattern) ? !segment.isEmpty() : pattern.equals(segment);
  }

  private static boolean isVariable(String segment) {
    return segment.startsWith("{");
  }

  private static List<String> split(String path) {
    return List.of(path.substring(1).split("/", -1));
  }

  private static void checkSegment(String text, String segment) {
    boolean braces = segment.indexOf('{') >= 0 || segment.indexOf('}') >= 0;
    if (braces && !segment.matches("\\{[A-Za-z0-9_]+}")) {
      throw malformed(text, "has a malformed variable in \"" + segment + "\"");
    }
    if (segment.indexOf('*') >= 0) {
      throw malformed(text, "has " + REST + " before its end");
    }
    if (!braces && !LITERAL.matcher(segment).matches()) {
      throw malformed(text, "has a segment \"" + segment + "\" that no path has");
    }
  }

  private static PomelohollowException malformed(String text, String why) {
    return new PomelohollowException(ErrorCode.TOML_OUT_OF_RANGE, "path \"" + text + "\" " + why);
  }
}
