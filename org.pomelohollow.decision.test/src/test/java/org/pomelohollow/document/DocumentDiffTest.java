package org.pomelohollow.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import net.jqwik.api.Example;

class DocumentDiffTest {
  private static final String DEMO = Examples.text("demo.toml");

  @Example
  void changesAreNamedByEntryAndField() {
    String after =
        DEMO.replace("rate = 500", "rate = 400")
            .replaceFirst("in_service = true", "in_service = false")
            .replace("[accounts.vivero]", "[accounts.finca]")
            .replace("account = \"vivero\"", "account = \"finca\"")
            .replace("path = \"/reservas/chain/**\"", "path = \"/reservas/deep/**\"");
    assertEquals(
        List.of(
            "~ account aserradero: rate 500.0 -> 400.0",
            "+ account finca: rate 100.0, burst 200.0, weight 1.0",
            "- account vivero: rate 100.0, burst 200.0, weight 1.0",
            "~ key 63cad9bc: account vivero -> finca",
            "~ route reservas-chain: path /reservas/chain/** -> /reservas/deep/**",
            "~ zone palmira: in_service true -> false"),
        DocumentDiff.between(read(DEMO), read(after)));
  }

  @Example
  void noWholeDigestIsPrinted() {
    Document d = read(DEMO);
    String all = String.join("\n", DocumentDiff.ofInitial(d));
    d.apiKeys().forEach(k -> assertFalse(all.contains(k.digest())));
    assertEquals(List.of(), DocumentDiff.between(d, read(DEMO)));
  }

  private static Document read(String text) {
    return DocumentReader.read("demo", text).value().orElseThrow();
  }
}
