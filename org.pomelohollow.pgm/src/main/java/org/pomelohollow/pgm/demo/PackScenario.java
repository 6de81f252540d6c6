package org.pomelohollow.pgm.demo;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.pomelohollow.standin.target.Payload;

/** A large photo pack. The daemons run with a heap of 128 MB. */
final class PackScenario implements Scenario {
  private static final long BYTES = 200L << 20;

  @Override
  public String title() {
    return "a photo pack of 200 MB through two daemons";
  }

  @Override
  public List<Check> run(DemoFleet fleet) throws InterruptedException {
    String path = "/catalogo/packs/7?bytes=" + BYTES;
    DemoFleet.Host entry = fleet.host(1);
    try {
      HttpResponse<InputStream> r =
          DemoHttp.sendNow(
              DemoHttp.request(entry, "vivero", path)
                  .timeout(java.time.Duration.ofSeconds(40))
                  .build(),
              BodyHandlers.ofInputStream());
      long same = sameBytes(r.body());
      return List.of(
          new Check("a large pack comes whole", same + " of " + BYTES + " bytes", same == BYTES));
    } catch (IOException e) {
      return List.of(new Check("a large pack comes whole", "broken: " + e.getMessage(), false));
    }
  }

  private static long sameBytes(InputStream in) throws IOException {
    byte[] b = new byte[1 << 16];
    long at = 0;
    int n = in.read(b);
    while (n >= 0) {
      for (int i = 0; i < n; i++) {
        if (b[i] != Payload.at(at + i)) {
          return at + i;
        }
      }
      at += n;
      n = in.read(b);
    }
    return at;
  }
}
