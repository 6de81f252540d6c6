package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

class DocumentFuzzTest {
  private static final Duration BOUND = Duration.ofSeconds(10);
  private static final List<String> PIECES =
      List.of(
          "[",
          "]",
          "[[",
          "]]",
          "{",
          "}",
          "\"",
          "\"\"\"",
          "'",
          "'''",
          "=",
          ".",
          ",",
          "#",
          "\n",
          "\\",
          "\\u",
          "\u0000",
          "\uD800",
          "\u00e9",
          "-",
          "nan",
          "inf",
          "1e999",
          "0x",
          "true",
          "9223372036854775808",
          "1979-05-27",
          "a",
          "zones",
          "accounts",
          "routes",
          "keys",
          "/**");

  @Property(seed = "4201", tries = 1000)
  void anyTextIsReadOrRejected(@ForAll String text) {
    read(text);
  }

  @Property(seed = "4202", tries = 400, shrinking = ShrinkingMode.OFF)
  void anyRowOfTokensIsReadOrRejected(@ForAll Random random) {
    StringBuilder s = new StringBuilder();
    for (int i = random.nextInt(200); i > 0; i--) {
      s.append(PIECES.get(random.nextInt(PIECES.size())));
    }
    read(s.toString());
  }

  @Property(seed = "4203", tries = 600, shrinking = ShrinkingMode.OFF)
  void mutatedExamplesAreReadOrRejected(@ForAll Random random) {
    StringBuilder s = new StringBuilder(Examples.text("demo.toml"));
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      mutate(s, random);
    }
    read(s.toString());
  }

  @Property(seed = "4204", tries = 34, shrinking = ShrinkingMode.OFF)
  void longRepetitionsAreReadOrRejectedInTime(@ForAll Random random) {
    String unit =
        PIECES.get(random.nextInt(PIECES.size())) + PIECES.get(random.nextInt(PIECES.size()));
    read(unit.repeat(100_000 / unit.length()));
  }

  private static void mutate(StringBuilder s, Random random) {
    int at = random.nextInt(s.length());
    int end = Math.min(s.length(), at + random.nextInt(30));
    switch (random.nextInt(4)) {
      case 0 -> s.delete(at, end);
      case 1 -> s.insert(at, PIECES.get(random.nextInt(PIECES.size())));
      case 2 -> s.insert(at, s.substring(at, end));
      default -> s.setCharAt(at, (char) random.nextInt(0x180));
    }
  }

  private static void read(String text) {
    assertTimeoutPreemptively(BOUND, () -> DocumentReader.read("fuzz", text));
  }
}
