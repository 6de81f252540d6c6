package org.pomelohollow.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pomelohollow.decision.request.ApiKeyDigest;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.standin.log.LogFaults;
import org.pomelohollow.standin.log.LogStandIn;

/** Tests the commands that check, publish and show configurations, against a stand-in log. */
class ConfigCommandsTest {
  private static final Path EXAMPLES = Path.of("..", "examples");

  private final LogStandIn log = LogStandIn.start(new Endpoint("127.0.0.1", 0));
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir private Path directory;

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void everyExamplePassesCheckAndABadDocumentDoesNot() throws IOException {
    for (String f : new String[] {"durmientes.toml", "blue-mahoe.toml", "demo.toml"}) {
      assertEquals(ExitCode.DONE, run("check", EXAMPLES.resolve(f).toString()), text(err));
    }
    String bad = file("bad.toml", "name = 3\nwhat = 1\n");
    assertEquals(ExitCode.FAILED, run("check", bad));
    assertTrue(text(err).contains(bad + ":1: PH-2003 name"), text(err));
    assertTrue(text(err).contains(bad + ":2: PH-2002 what"), text(err));
    assertEquals(ExitCode.USAGE, run("check"));
    assertEquals(ExitCode.FAILED, run("check", "no-such-file"));
  }

  @Test
  void aKeyIsPrintedWithItsDigest() {
    run("key");
    String[] lines = text(out).split("\n", -1);
    assertEquals("sha256 " + ApiKeyDigest.of(lines[0].substring("key ".length())), lines[1]);
  }

  @Test
  void secondChangeOnSameBaseIsRejectedAndListsDifferences() throws IOException {
    assertEquals(ExitCode.DONE, publish(demoDocument(500), "--change-id", "a"), text(err));
    assertTrue(text(out).contains("accepted version 1 change a"));
    assertEquals(ExitCode.DONE, publish(demoDocument(600), "--base", "1"));
    assertEquals(ExitCode.FAILED, publish(demoDocument(700), "--base", "1", "--change-id", "c"));
    assertTrue(text(err).contains("PH-2201"), text(err));
    assertTrue(text(out).contains("~ account aserradero: rate 500.0 -> 600.0"), text(out));
    assertEquals(
        ExitCode.DONE,
        publish(demoDocument(500), "--change-id", "a"),
        "publishing change a again has no effect");
    assertEquals(
        2,
        log.contents("config").endOffset(),
        "the rejected change and the repeated one were not appended");
  }

  @Test
  void lostResponsesCreateOneVersion() throws IOException {
    log.setFaults(LogFaults.NONE.withLostResponses(2));
    assertEquals(ExitCode.DONE, publish(demoDocument(500)), text(err));
    assertTrue(text(out).contains("accepted version 1 "), text(out));
  }

  @Test
  void changeThatFailedInLogOutageCanBePublishedAgainUnderSameId() throws IOException {
    log.setFaults(LogFaults.NONE.withDown(true));
    assertEquals(ExitCode.FAILED, publish(demoDocument(500), "--change-id", "a", "--timeout", "1"));
    assertTrue(text(err).contains("PH-2301"), text(err));
    assertTrue(text(err).contains("--change-id a"), text(err));
    log.setFaults(LogFaults.NONE);
    assertEquals(ExitCode.DONE, publish(demoDocument(500), "--change-id", "a"));
  }

  @Test
  void dryRunListsDifferencesAndShowPrintsDocument() throws IOException {
    publish(demoDocument(500));
    publish(demoDocument(600), "--dry-run");
    assertTrue(text(out).contains("~ account aserradero: rate 500.0 -> 600.0"), text(out));
    assertEquals(ExitCode.DONE, run("show", "--log", log.address().toString()));
    assertTrue(text(out).contains("# version 1 change "), text(out));
    assertTrue(text(out).contains("rate = 500"), text(out));
    assertEquals(
        ExitCode.FAILED, run("show", "--log", log.address().toString(), "--daemon", "127.0.0.1:1"));
    assertTrue(text(err).contains("PH-1303"), text(err));
  }

  private ExitCode publish(String file, String... options) {
    String[] args = {"publish", file, "--log", log.address().toString()};
    String[] all = java.util.Arrays.copyOf(args, args.length + options.length);
    System.arraycopy(options, 0, all, args.length, options.length);
    return run(all);
  }

  private ExitCode run(String... args) {
    return Main.execute(
        args,
        new Console(
            new PrintStream(out, true, StandardCharsets.UTF_8),
            new PrintStream(err, true, StandardCharsets.UTF_8)));
  }

  private String demoDocument(int rate) throws IOException {
    String text = Files.readString(EXAMPLES.resolve("demo.toml"));
    return file("demo-" + rate + ".toml", text.replace("rate = 500", "rate = " + rate));
  }

  private String file(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  private static String text(ByteArrayOutputStream s) {
    return s.toString(StandardCharsets.UTF_8);
  }
}
