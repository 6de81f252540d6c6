package org.pomelohollow.daemon.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.rollout.RolloutSettings;
import org.pomelohollow.document.ParseResult;
import org.pomelohollow.document.Problem;

class SettingsReaderTest {
  private static final String SETTINGS =
      """
      host = "h"
      zone = "a"
      [listen]
      caller = "127.0.0.1:1"
      target = "127.0.0.1:2"
      peer = "127.0.0.1:3"
      admin = "127.0.0.1:4"
      [log]
      address = "127.0.0.1:5"
      [peers]
      seeds = []
      secret_env = "SECRET"
      [platform]
      readiness = "127.0.0.1:6"
      service = "s"
      zones = ["a"]
      grace = "%s"
      """;

  @Test
  void durationsHaveAUnit() {
    assertEquals(Duration.ofMillis(1_500), read("1500ms").value().orElseThrow().grace());
    assertEquals(Duration.ofMillis(2_500), read("2.5s").value().orElseThrow().grace());
  }

  /** Guards against settings without roll-outs, as existing deployments have them. */
  @Test
  void boundsOfVersionUpgradesHaveDefaults() {
    assertEquals(RolloutSettings.DEFAULT, read("5s").value().orElseThrow().rollouts());
    String bounds = "5s\"\nexpose_share = 0.2\nexpose_slack = 30\nrollback = \"4s";
    assertEquals(
        new RolloutSettings(0.2, 30, Duration.ofSeconds(4).toNanos()),
        read(bounds).value().orElseThrow().rollouts());
    assertTrue(read("5s\"\nexpose_share = 1.5\nrollback = \"4s").value().isEmpty());
  }

  @Test
  void invalidDurationsAreProblemsOfTheirKey() {
    for (String bad : new String[] {"", "5x", "5", "s", "ms", "-1s", "NaNs", "1e99s", "9999999s"}) {
      ParseResult<PlatformSettings> r = read(bad);
      assertTrue(r.value().isEmpty(), bad);
      Problem p = r.problems().get(0);
      assertEquals("platform.grace", p.key(), bad);
      assertEquals(17, p.line(), bad);
    }
  }

  private static ParseResult<PlatformSettings> read(String grace) {
    ParseResult<Settings> r =
        new SettingsReader(v -> "a secret for tests only").read("test", SETTINGS.formatted(grace));
    return new ParseResult<>(r.value().flatMap(Settings::platform), r.problems());
  }
}
