package org.pomelohollow.decision.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentReader;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

class StaleConfigurationFilterTest {
  private static final String TEXT =
      """
      name = "test"
      priorities = ["high"]
      [zones.a]
      [services.s]
      slots = 1
      [[routes]]
      name = "keyed"
      service = "s"
      methods = ["GET"]
      path = "/keyed"
      priority = "high"
      [[routes]]
      name = "open"
      service = "s"
      methods = ["GET"]
      path = "/open"
      priority = "high"
      open = true
      """;

  private final List<Verdict> refusals = new ArrayList<>();
  private final List<Exchange> proceeded = new ArrayList<>();

  @Example
  void onlyRequestsOnRoutesThatNeedAnApiKeyAreRefused() {
    start("/keyed", true);
    start("/open", true);
    start("/keyed", false);
    assertEquals(2, proceeded.size());
    assertEquals(1, refusals.size());
    assertEquals(ErrorCode.STALE_CONFIGURATION, ((Verdict.NotRun) refusals.get(0)).code());
  }

  private void start(String path, boolean stale) {
    Document d = DocumentReader.read("test", TEXT).value().orElseThrow();
    VersionedDocument v = new VersionedDocument(1, "c", TEXT, d);
    RequestHead h =
        new RequestHead(
            "r",
            "GET",
            path,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            0,
            Optional.empty());
    new FilterChain(
            List.of(
                new RouteFilter(() -> Optional.of(v)),
                new StaleConfigurationFilter(now -> stale),
                (x, now, next) -> proceeded.add(x)))
        .start(new Exchange(h, 0, refusals::add), 0);
  }
}
