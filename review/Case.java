import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: arguments, temporary folder and exit status. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  Log log;
  Store store;
  Daemons daemons;
  boolean trouble;

  /** Plays the case; returns the exit status. */
  abstract int play() throws Exception;

  /** Runs the case; arguments are the repository and the folder of the case. */
  static void run(Case c, List<String> zones, String... args) throws IOException {
    Path repository = Path.of(args[0]).toAbsolutePath();
    Path temporary = Files.createTempDirectory("pomelohollow-review");
    int status = NOT_RUN;
    c.log = new Log(Path.of(args[1]).resolve("record.txt"));
    c.trouble = !"0".equals(System.getenv("TROUBLE"));
    c.log.line("test", c.trouble ? "with the disruption" : "without the disruption");
    try {
      c.store = new Store();
      try (Daemons d = new Daemons(repository, temporary, c.log, zones, c.store.proxy.port())) {
        c.daemons = d;
        status = c.play();
      }
    } catch (Exception | LinkageError e) {
      c.log.result("the case could not run: " + e);
    } finally {
      if (System.getenv("KEEP") != null) {
        System.out.println(temporary);
      } else {
        try (Stream<Path> all = Files.walk(temporary)) {
          all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
      }
    }
    c.log.result(status == HELD ? "held" : status == BROKEN ? "broken" : "not run");
    Runtime.getRuntime().halt(status);
  }

  /** Waits until all daemons are ready. */
  void awaitReady(Daemons.Daemon... all) throws IOException {
    for (int i = 0; i < 300; i++) {
      if (Stream.of(all).allMatch(Daemons.Daemon::isReady)) {
        log.line("test", "all daemons are ready");
        return;
      }
      Threads.sleep(100);
    }
    throw new IOException("the daemons were not ready within 30 s");
  }
}
