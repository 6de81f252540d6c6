package org.pomelohollow.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.HttpLogClient;
import org.pomelohollow.wire.WireCodec;
import reactor.netty.resources.LoopResources;

/** Sends requests through processes of the built binary, and checks its exit statuses. */
class PathBinaryTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  @TempDir private Path directory;

  @Test
  void requestsPassThroughProcessesAndSigtermStopsThem() throws Exception {
    Files.writeString(directory.resolve("secret"), "a secret for this test");
    try (RunningBinary log = RunningBinary.start("stand-in", "log")) {
      String logAddress = log.address("log");
      try (RunningBinary a = daemon("a", logAddress);
          RunningBinary b = daemon("b", logAddress)) {
        String callers = a.address("callers");
        b.address("callers");
        b.address("peers");
        String targetListener = b.address("target");
        try (RunningBinary target =
            RunningBinary.start(
                "stand-in", "target", "--service", "lots", "--daemon", targetListener)) {
          publish(logAddress);
          target.address("target");
          awaitStatus(200, callers);
          a.sendHangUp();
          b.sendHangUp();
          awaitStatus(200, callers);
          assertEquals(0, b.terminate());
          assertEquals(0, a.terminate());
        }
      }
    }
  }

  @Test
  void usageErrorsAndInvalidSettingsAreReported() throws Exception {
    assertEquals(2, RunningBinary.run("no-such-command").status());
    assertEquals(2, RunningBinary.run("daemon").status());
    assertEquals(0, RunningBinary.run("--help").status());
    Path bad = directory.resolve("bad.toml");
    Files.writeString(bad, "host = 3\nzone = \"a\"\nsurprise = true\n");
    RunningBinary.Result result = RunningBinary.run("daemon", "--settings", bad.toString());
    assertEquals(1, result.status());
    assertTrue(result.err().contains("bad.toml:1: PH-2003 host"), result.err());
    assertTrue(result.err().contains("bad.toml:3: PH-2002 surprise"), result.err());
    assertTrue(result.err().contains("PH-2004 listen"), result.err());
  }

  private RunningBinary daemon(String host, String logAddress) throws IOException {
    String text =
        """
        host = "%s"
        zone = "z"

        [listen]
        caller = "127.0.0.1:0"
        peer = "127.0.0.1:0"
        target = "127.0.0.1:0"
        admin = "127.0.0.1:0"

        [log]
        address = "%s"

        [peers]
        secret_file = "%s"
        """
            .formatted(host, logAddress, directory.resolve("secret"));
    Path file = Files.writeString(directory.resolve(host + ".toml"), text);
    return RunningBinary.start("daemon", "--settings", file.toString());
  }

  private static void publish(String logAddress) {
    String document =
        """
        name = "test"
        priorities = ["normal"]
        [zones.z]
        [accounts.one]
        rate = 1000
        [[keys]]
        account = "one"
        sha256 = "%s"
        [services.lots]
        slots = 20
        [[routes]]
        name = "lots"
        service = "lots"
        methods = ["GET"]
        path = "/lots/{id}"
        priority = "normal"
        idempotent = true
        """
            .formatted(ApiKeyDigest.of("key"));
    LoopResources loops = LoopResources.create("test", 1, true);
    new HttpLogClient(Endpoint.parse(logAddress), loops, new WireCodec())
        .append(
            LogStream.CONFIG.streamName(),
            new WireCodec().encode(new ConfigProposal("c1", 0, document)))
        .block(TIMEOUT);
    loops.dispose();
  }

  private static void awaitStatus(int expected, String callers) throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://" + callers + "/lots/1"))
            .header("Authorization", "Bearer key")
            .timeout(TIMEOUT)
            .build();
    long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
    int status;
    do {
      status = HttpClient.newHttpClient().send(r, BodyHandlers.discarding()).statusCode();
    } while (status != expected && System.nanoTime() < deadlineNanos);
    assertEquals(expected, status);
  }
}
