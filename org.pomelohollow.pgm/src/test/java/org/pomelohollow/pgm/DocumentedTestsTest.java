package org.pomelohollow.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that every test class that is named in the fault and platform pages exists. */
class DocumentedTestsTest {
  /** Root of the repository; tests run in the directory of their module. */
  private static final Path ROOT = Path.of("..");

  private static final Pattern TEST_NAME = Pattern.compile("`([A-Z][A-Za-z]*Test)\\b");

  @Test
  void everyNamedTestExists() throws IOException {
    Set<String> classes = new TreeSet<>();
    Set<String> missing = new TreeSet<>();
    try (Stream<Path> files = Files.walk(ROOT)) {
      for (Path f : files.filter(DocumentedTestsTest::isTest).toList()) {
        classes.add(f.getFileName().toString().replace(".java", ""));
      }
    }
    for (String page : Set.of("docs/FAULTS.md", "docs/design/platform.md")) {
      Set<String> named = findTestNames(ROOT.resolve(page));
      assertFalse(named.isEmpty(), page);
      missing.addAll(named.stream().filter(n -> !classes.contains(n)).collect(Collectors.toSet()));
    }
    assertEquals(Set.of(), missing);
  }

  private static boolean isTest(Path f) {
    return f.toString().contains("src/test/java") && f.toString().endsWith("Test.java");
  }

  private static Set<String> findTestNames(Path page) throws IOException {
    Set<String> names = new TreeSet<>();
    Matcher m = TEST_NAME.matcher(Files.readString(page));
    while (m.find()) {
      names.add(m.group(1));
    }
    return names;
  }
}
