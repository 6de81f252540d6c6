package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ServiceId;

class DocumentReaderTest {
  private static final String GOOD =
      """
      name = "test"
      priorities = ["high", "low"]
      [zones.a]
      [zones.b]
      in_service = false
      [accounts.x]
      rate = 5
      [[keys]]
      account = "x"
      sha256 = "DIGEST"
      [services.s]
      slots = 10
      zones = ["a", "b"]
      [[routes]]
      name = "r"
      service = "s"
      methods = ["GET"]
      path = "/r/{id}"
      priority = "low"
      """
          .replace("DIGEST", "0".repeat(64));

  @Example
  void theExamplesAreValidAndHaveTheSizesOfToday() {
    for (String name : Examples.NAMES) {
      assertEquals(List.of(), DocumentReader.read(name, Examples.text(name)).problems());
    }
    Document d = Examples.read("durmientes.toml");
    assertEquals(8, d.accounts().size());
    assertEquals(3, d.zones().size());
    ServiceEntry catalogo = d.services().get(new ServiceId("catalogo"));
    assertEquals(230, catalogo.slots());
    assertEquals(1500, catalogo.connections());
    assertEquals(8, Examples.read("blue-mahoe.toml").accounts().size());
  }

  @Example
  void everyMistakeIsReportedWithItsPlace() {
    assertEquals(List.of(), DocumentReader.read("f", GOOD).problems());
    problem("name = \"test\"", "", ErrorCode.TOML_MISSING_KEY, "name");
    problem("\"test\"", "\" \"", ErrorCode.TOML_OUT_OF_RANGE, "name", 1);
    problem("\"high\", ", "7, \"high\", ", ErrorCode.TOML_WRONG_TYPE, "priorities", 2);
    problem("\"high\"", "\"low\"", ErrorCode.DOCUMENT_DUPLICATE, "priorities", 2);
    problem("[zones.a]", "[zones.\"\"]", ErrorCode.TOML_OUT_OF_RANGE, "zones", 3);
    problem("[zones.a]", "[zones.a]\nx = 1", ErrorCode.TOML_UNKNOWN_KEY, "zones.a.x", 4);
    problem("[zones.a]", "[zones.a]\nin_service = false", ErrorCode.DOCUMENT_NO_ZONE, "zones", 3);
    problem("[services.s]", "[[services]]", ErrorCode.TOML_WRONG_TYPE, "services", 11);
    problem("rate = 5", "", ErrorCode.TOML_MISSING_KEY, "accounts.x.rate", 6);
    problem("rate = 5", "rate = nan", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    problem("rate = 5", "rate = inf", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    problem("rate = 5", "rate = 0", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    problem("rate = 5", "rate = 1e8", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    problem("rate = 5", "rate = true", ErrorCode.TOML_WRONG_TYPE, "accounts.x.rate", 7);
    problem(
        "account = \"x\"",
        "account = \"y\"",
        ErrorCode.DOCUMENT_DANGLING_NAME,
        "keys[0].account",
        9);
    problem("0\"\n[serv", "Z\"\n[serv", ErrorCode.TOML_OUT_OF_RANGE, "keys[0].sha256", 10);
    problem(
        "slots = 10",
        "slots = 9223372036854775807",
        ErrorCode.TOML_OUT_OF_RANGE,
        "services.s.slots",
        12);
    problem(
        "slots = 10", "slots = 4294967297", ErrorCode.TOML_OUT_OF_RANGE, "services.s.slots", 12);
    problem(
        "slots = 10",
        "slots = 10\ncold_start_slots = 11",
        ErrorCode.TOML_OUT_OF_RANGE,
        "services.s",
        11);
    problem("[\"a\", \"b\"]", "[\"c\"]", ErrorCode.DOCUMENT_DANGLING_NAME, "services.s.zones", 13);
    problem("[\"a\", \"b\"]", "[\"b\"]", ErrorCode.DOCUMENT_NO_ZONE, "services.s.zones", 13);
    problem(
        "service = \"s\"",
        "service = \"t\"",
        ErrorCode.DOCUMENT_DANGLING_NAME,
        "routes[0].service",
        16);
    problem("[\"GET\"]", "[\"get\"]", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].methods", 17);
    problem("/r/{id}", "/r//x", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].path", 18);
    problem("/r/{id}", "/r/../x", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].path", 18);
    problem("\"low\"\n", "\"mid\"\n", ErrorCode.DOCUMENT_DANGLING_NAME, "routes[0].priority", 19);
  }

  @Example
  void duplicatesAndOverlapsAreReported() {
    String key = GOOD.substring(GOOD.indexOf("[[keys]]"), GOOD.indexOf("[services"));
    problem(
        "[services.s]", key + "[services.s]", ErrorCode.DOCUMENT_DUPLICATE, "keys[1].sha256", 13);
    problem("[zones.b]", "[zones.a]", ErrorCode.DOCUMENT_DUPLICATE, "", 4);
    problem("[accounts.x]", "[accounts.x]\nrate = 1", ErrorCode.DOCUMENT_DUPLICATE, "", 8);
    String route = GOOD.substring(GOOD.indexOf("[[routes]]"));
    String twin = GOOD + route.replace("\"r\"", "\"r2\"").replace("{id}", "{other}");
    has(twin, ErrorCode.DOCUMENT_ROUTE_OVERLAP, "routes[1].path", 24);
    has(GOOD + route, ErrorCode.DOCUMENT_DUPLICATE, "routes[1].name", 21);
  }

  @Example
  void allMistakesComeAtOnceInTheOrderOfTheFile() {
    String bad =
        GOOD.replace("rate = 5", "rate = -1").replace("\"GET\"", "\"X\"").replace("10", "0");
    List<Problem> p = DocumentReader.read("f", bad).problems();
    assertEquals(List.of(7, 12, 17, 17), p.stream().map(Problem::line).toList());
    assertEquals("f:7: PH-2005 accounts.x.rate: -1 is outside 0.001 to 1.0E7", p.get(0).toString());
  }

  @Example
  void hugeInputsAreRejectedUnread() {
    has("#".repeat(TomlFile.MAX_LENGTH + 1), ErrorCode.TOML_OUT_OF_RANGE, "", 0);
    has("a = " + "[".repeat(17) + "]".repeat(17), ErrorCode.TOML_OUT_OF_RANGE, "", 0);
    assertEquals(1, TomlNesting.depth("a = [\"[[\", '[\"', \"\"\"[\"[\"\"\"] # [[\nb = [']']"));
  }

  private static void problem(String from, String to, ErrorCode code, String key, int line) {
    assertTrue(GOOD.contains(from), from);
    has(GOOD.replace(from, to), code, key, line);
  }

  private static void problem(String from, String to, ErrorCode code, String key) {
    problem(from, to, code, key, 0);
  }

  private static void has(String text, ErrorCode code, String key, int line) {
    List<Problem> p = DocumentReader.read("f", text).problems();
    boolean found =
        p.stream().anyMatch(e -> e.code() == code && e.key().equals(key) && e.line() == line);
    assertTrue(found, () -> code + " " + key + " " + line + " not in " + p);
  }
}
