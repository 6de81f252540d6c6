package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

class DocumentFuzzTest {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
  private static final List<String> TOKENS =
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
    readWithinTimeout(text);
  }

  @Property(seed = "4202", tries = 400, shrinking = ShrinkingMode.OFF)
  void anyTokenSequenceIsReadOrRejected(@ForAll Random random) {
    StringBuilder s = new StringBuilder();
    for (int i = random.nextInt(200); i > 0; i--) {
      s.append(TOKENS.get(random.nextInt(TOKENS.size())));
    }
    readWithinTimeout(s.toString());
  }

  @Property(seed = "4203", tries = 600, shrinking = ShrinkingMode.OFF)
  void mutatedExamplesAreReadOrRejected(@ForAll Random random) {
    StringBuilder s = new StringBuilder(Examples.text("demo.toml"));
    for (int i = 1 + random.nextInt(4); i > 0; i--) {
      mutate(s, random);
    }
    readWithinTimeout(s.toString());
  }

  @Property(seed = "4204", tries = 34, shrinking = ShrinkingMode.OFF)
  void longRepetitionsAreReadOrRejectedInTime(@ForAll Random random) {
    String unit =
        TOKENS.get(random.nextInt(TOKENS.size())) + TOKENS.get(random.nextInt(TOKENS.size()));
    readWithinTimeout(unit.repeat(100_000 / unit.length()));
  }

  private static void mutate(StringBuilder s, Random random) {
    int at = random.nextInt(s.length());
    int end = Math.min(s.length(), at + random.nextInt(30));
    switch (random.nextInt(4)) {
      case 0 -> s.delete(at, end);
      case 1 -> s.insert(at, TOKENS.get(random.nextInt(TOKENS.size())));
      case 2 -> s.insert(at, s.substring(at, end));
      default -> s.setCharAt(at, (char) random.nextInt(0x180));
    }
  }

  private static void readWithinTimeout(String text) {
    assertTimeoutPreemptively(READ_TIMEOUT, () -> DocumentReader.read("fuzz", text));
  }
}
