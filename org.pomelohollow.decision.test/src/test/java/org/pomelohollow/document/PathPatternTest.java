package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.pomelohollow.errors.PomelohollowException;

class PathPatternTest {
  @Example
  void aVariableMatchesOneNonEmptySegment() {
    PathPattern p = PathPattern.parse("/lots/{id}");
    assertTrue(p.matches("/lots/7"));
    assertFalse(p.matches("/lots/"));
    assertFalse(p.matches("/lots/7/photos"));
  }

  @Example
  void literalsTakePrecedenceOverVariablesAndThoseOverTheRest() {
    List<String> sorted =
        Stream.of("/**", "/lots/{id}", "/lots/new", "/lots/**")
            .map(PathPattern::parse)
            .sorted()
            .map(PathPattern::toString)
            .toList();
    assertEquals(List.of("/lots/new", "/lots/{id}", "/lots/**", "/**"), sorted);
  }

  @Example
  void patternsOfEqualPrecedenceOverlap() {
    assertTrue(PathPattern.parse("/a/{x}").overlaps(PathPattern.parse("/a/{y}")));
    assertFalse(PathPattern.parse("/a/{x}").overlaps(PathPattern.parse("/a/b")));
    assertFalse(PathPattern.parse("/a/{x}").overlaps(PathPattern.parse("/b/{x}")));
  }

  @Example
  void malformedPatternsAreRejected() {
    for (String s : List.of("", "a", "/a/**/b", "/a/{x", "/a/{}")) {
      assertThrows(PomelohollowException.class, () -> PathPattern.parse(s), s);
    }
  }
}
