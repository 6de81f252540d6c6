package org.pomelohollow.pgm.demo;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.pomelohollow.standin.target.Payload;

/**
 * Reads a response of 200 MB through two daemons. Their heap is 128 MB, so they cannot hold it
 * whole.
 */
final class LargeResponseScenario implements Scenario {
  private static final long BODY_BYTES = 200L << 20;

  @Override
  public String title() {
    return "a photo pack of 200 MB through two daemons";
  }

  @Override
  public List<CheckResult> run(DemoFleet fleet) throws InterruptedException {
    String path = "/catalogo/packs/7?bytes=" + BODY_BYTES;
    DemoFleet.Host entry = fleet.host(1);
    try {
      HttpResponse<InputStream> r =
          DemoHttp.sendAndWait(
              DemoHttp.request(entry, "vivero", path)
                  .timeout(java.time.Duration.ofSeconds(40))
                  .build(),
              BodyHandlers.ofInputStream());
      long matching = countMatchingBytes(r.body());
      return List.of(
          new CheckResult(
              "a large pack comes whole",
              matching + " of " + BODY_BYTES + " bytes",
              matching == BODY_BYTES));
    } catch (IOException e) {
      return List.of(
          new CheckResult("a large pack comes whole", "broken: " + e.getMessage(), false));
    }
  }

  /** Reads a stream to its end or its first byte that differs from the expected payload. */
  private static long countMatchingBytes(InputStream in) throws IOException {
    byte[] buffer = new byte[1 << 16];
    long position = 0;
    int n = in.read(buffer);
    while (n >= 0) {
      for (int i = 0; i < n; i++) {
        if (buffer[i] != Payload.byteAt(position + i)) {
          return position + i;
        }
      }
      position += n;
      n = in.read(buffer);
    }
    return position;
  }
}
