package org.pomelohollow.document;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Pattern;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/**
 * Pattern for the path of a request. It consists of literal segments, variables {@code {name}} that
 * match any one non-empty segment, and an optional final {@code **} that matches any remaining
 * segments.
 *
 * <p>Patterns are ordered by precedence. At the leftmost segment where two patterns differ in kind,
 * a literal segment takes precedence over a variable, and a variable over {@code **}.
 */
public final class PathPattern implements Comparable<PathPattern> {
  private static final String REST_WILDCARD = "**";
  private static final int MAX_LENGTH = 512;

  /** A literal segment, which may be percent-encoded; {@code .} and {@code ..} are excluded. */
  private static final Pattern LITERAL_SEGMENT =
      Pattern.compile("(?!\\.\\.?$)[A-Za-z0-9._~!$&'()+,;=:@%-]*");

  private final String text;
  private final List<String> segments;
  private final boolean matchesRest;

  private PathPattern(String text, List<String> segments, boolean matchesRest) {
    this.text = text;
    this.segments = segments;
    this.matchesRest = matchesRest;
  }

  /**
   * Returns a pattern that matches every path that starts with a prefix, compared literally.
   *
   * @param prefix text that starts and ends with a slash, not null
   * @return the pattern
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if it lacks one of these
   *     slashes
   */
  public static PathPattern ofPrefix(String prefix) {
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw malformed(prefix, "does not start and end with a slash");
    }
    List<String> parts = split(prefix);
    return new PathPattern(
        prefix + REST_WILDCARD, List.copyOf(parts.subList(0, parts.size() - 1)), true);
  }

  /**
   * Parses a pattern.
   *
   * @param text pattern that starts with a slash, not null
   * @return the pattern
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if the pattern is
   *     malformed
   */
  public static PathPattern parse(String text) {
    Objects.requireNonNull(text, "text");
    if (!text.startsWith("/")) {
      throw malformed(text, "does not start with a slash");
    }
    if (text.length() > MAX_LENGTH) {
      throw malformed(
          text.substring(0, MAX_LENGTH), "is longer than " + MAX_LENGTH + " characters");
    }
    if (text.contains("//")) {
      throw malformed(text, "has an empty segment");
    }
    List<String> parts = split(text);
    boolean matchesRest = parts.get(parts.size() - 1).equals(REST_WILDCARD);
    List<String> leading = matchesRest ? parts.subList(0, parts.size() - 1) : parts;
    for (String s : leading) {
      checkSegment(text, s);
    }
    return new PathPattern(text, List.copyOf(leading), matchesRest);
  }

  /**
   * Returns whether a path matches this pattern.
   *
   * @param path path without query, starting with a slash, not null
   * @return true if it matches
   */
  public boolean matches(String path) {
    if (!path.startsWith("/")) {
      return false;
    }
    List<String> parts = split(path);
    if (matchesRest ? parts.size() < segments.size() : parts.size() != segments.size()) {
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
   * Returns the prefix that identifies the matching paths, if the pattern consists of literal
   * segments followed by {@code **}.
   *
   * @return the prefix, which starts and ends with a slash; empty for any other pattern
   */
  public Optional<String> literalPrefix() {
    if (!matchesRest || segments.stream().anyMatch(PathPattern::isVariable)) {
      return Optional.empty();
    }
    return Optional.of(text.substring(0, text.length() - REST_WILDCARD.length()));
  }

  /**
   * Returns whether this and another pattern have equal precedence and match a common path.
   *
   * @param o another pattern, not null
   * @return true if there is a path that both match and neither takes precedence
   */
  public boolean overlaps(PathPattern o) {
    return compareTo(o) == 0 && matchesCommonPath(o);
  }

  /** Orders patterns by precedence; the pattern with the higher precedence is the smaller. */
  @Override
  public int compareTo(PathPattern o) {
    int n = Math.max(segments.size(), o.segments.size());
    for (int i = 0; i < n; i++) {
      int c = Integer.compare(segmentRank(i), o.segmentRank(i));
      if (c != 0) {
        return c;
      }
    }
    return Boolean.compare(matchesRest, o.matchesRest);
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
        || (matchesRest && segments.size() < o.segments.size())
        || (o.matchesRest && o.segments.size() < segments.size());
  }

  private int segmentRank(int i) {
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
      throw malformed(text, "has a \"*\" outside a final " + REST_WILDCARD);
    }
    if (!braces && !LITERAL_SEGMENT.matcher(segment).matches()) {
      throw malformed(
          text, "has a segment \"" + segment + "\" with characters that a path cannot have");
    }
  }

  private static PomelohollowException malformed(String text, String reason) {
    return new PomelohollowException(
        ErrorCode.TOML_OUT_OF_RANGE, "path \"" + text + "\" " + reason);
  }
}
