package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.ServiceId;

class DocumentReaderTest {
  private static final String VALID =
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
  void theExamplesAreValidAndHaveTheExpectedSizes() {
    for (String name : Examples.FILE_NAMES) {
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
  void everyMistakeIsReportedWithItsPosition() {
    assertEquals(List.of(), DocumentReader.read("f", VALID).problems());
    expect("name = \"test\"", "", ErrorCode.TOML_MISSING_KEY, "name");
    expect("\"test\"", "\" \"", ErrorCode.TOML_OUT_OF_RANGE, "name", 1);
    expect("\"high\", ", "7, \"high\", ", ErrorCode.TOML_WRONG_TYPE, "priorities", 2);
    expect("\"high\"", "\"low\"", ErrorCode.DOCUMENT_DUPLICATE, "priorities", 2);
    expect("[zones.a]", "[zones.\"\"]", ErrorCode.TOML_OUT_OF_RANGE, "zones", 3);
    expect("[zones.a]", "[zones.a]\nx = 1", ErrorCode.TOML_UNKNOWN_KEY, "zones.a.x", 4);
    expect("[zones.a]", "[zones.a]\nin_service = false", ErrorCode.DOCUMENT_NO_ZONE, "zones", 3);
    expect("[services.s]", "[[services]]", ErrorCode.TOML_WRONG_TYPE, "services", 11);
    expect("rate = 5", "", ErrorCode.TOML_MISSING_KEY, "accounts.x.rate", 6);
    expect("rate = 5", "rate = nan", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    expect("rate = 5", "rate = inf", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    expect("rate = 5", "rate = 0", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    expect("rate = 5", "rate = 1e8", ErrorCode.TOML_OUT_OF_RANGE, "accounts.x.rate", 7);
    expect("rate = 5", "rate = true", ErrorCode.TOML_WRONG_TYPE, "accounts.x.rate", 7);
    expect(
        "account = \"x\"",
        "account = \"y\"",
        ErrorCode.DOCUMENT_DANGLING_NAME,
        "keys[0].account",
        9);
    expect("0\"\n[serv", "Z\"\n[serv", ErrorCode.TOML_OUT_OF_RANGE, "keys[0].sha256", 10);
    expect(
        "slots = 10",
        "slots = 9223372036854775807",
        ErrorCode.TOML_OUT_OF_RANGE,
        "services.s.slots",
        12);
    expect("slots = 10", "slots = 4294967297", ErrorCode.TOML_OUT_OF_RANGE, "services.s.slots", 12);
    expect(
        "slots = 10",
        "slots = 10\ncold_start_slots = 11",
        ErrorCode.TOML_OUT_OF_RANGE,
        "services.s",
        11);
    expect("[\"a\", \"b\"]", "[\"c\"]", ErrorCode.DOCUMENT_DANGLING_NAME, "services.s.zones", 13);
    expect("[\"a\", \"b\"]", "[\"b\"]", ErrorCode.DOCUMENT_NO_ZONE, "services.s.zones", 13);
    expect(
        "service = \"s\"",
        "service = \"t\"",
        ErrorCode.DOCUMENT_DANGLING_NAME,
        "routes[0].service",
        16);
    expect("[\"GET\"]", "[\"get\"]", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].methods", 17);
    expect("/r/{id}", "/r//x", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].path", 18);
    expect("/r/{id}", "/r/../x", ErrorCode.TOML_OUT_OF_RANGE, "routes[0].path", 18);
    expect("\"low\"\n", "\"mid\"\n", ErrorCode.DOCUMENT_DANGLING_NAME, "routes[0].priority", 19);
  }

  @Example
  void duplicatesAndOverlapsAreReported() {
    String key = VALID.substring(VALID.indexOf("[[keys]]"), VALID.indexOf("[services"));
    expect(
        "[services.s]", key + "[services.s]", ErrorCode.DOCUMENT_DUPLICATE, "keys[1].sha256", 13);
    expect("[zones.b]", "[zones.a]", ErrorCode.DOCUMENT_DUPLICATE, "", 4);
    expect("[accounts.x]", "[accounts.x]\nrate = 1", ErrorCode.DOCUMENT_DUPLICATE, "", 8);
    String route = VALID.substring(VALID.indexOf("[[routes]]"));
    String overlapping = VALID + route.replace("\"r\"", "\"r2\"").replace("{id}", "{other}");
    assertHasProblem(overlapping, ErrorCode.DOCUMENT_ROUTE_OVERLAP, "routes[1].path", 24);
    assertHasProblem(VALID + route, ErrorCode.DOCUMENT_DUPLICATE, "routes[1].name", 21);
  }

  @Example
  void allMistakesAreReportedTogetherInTheOrderOfTheFile() {
    String bad =
        VALID.replace("rate = 5", "rate = -1").replace("\"GET\"", "\"X\"").replace("10", "0");
    List<Problem> p = DocumentReader.read("f", bad).problems();
    assertEquals(List.of(7, 12, 17, 17), p.stream().map(Problem::line).toList());
    assertEquals("f:7: PH-2005 accounts.x.rate: -1 is outside 0.001 to 1.0E7", p.get(0).toString());
  }

  @Example
  void oversizedInputsAreRejectedBeforeParsing() {
    assertHasProblem("#".repeat(TomlReader.MAX_LENGTH + 1), ErrorCode.TOML_OUT_OF_RANGE, "", 0);
    assertHasProblem("a = " + "[".repeat(17) + "]".repeat(17), ErrorCode.TOML_OUT_OF_RANGE, "", 0);
    assertEquals(1, TomlNesting.depth("a = [\"[[\", '[\"', \"\"\"[\"[\"\"\"] # [[\nb = [']']"));
  }

  /** Asserts that the valid document with one part replaced has a problem. */
  private static void expect(String from, String to, ErrorCode code, String key, int line) {
    assertTrue(VALID.contains(from), from);
    assertHasProblem(VALID.replace(from, to), code, key, line);
  }

  private static void expect(String from, String to, ErrorCode code, String key) {
    expect(from, to, code, key, 0);
  }

  private static void assertHasProblem(String text, ErrorCode code, String key, int line) {
    List<Problem> p = DocumentReader.read("f", text).problems();
    boolean found =
        p.stream().anyMatch(e -> e.code() == code && e.key().equals(key) && e.line() == line);
    assertTrue(found, () -> code + " " + key + " " + line + " not in " + p);
  }
}
