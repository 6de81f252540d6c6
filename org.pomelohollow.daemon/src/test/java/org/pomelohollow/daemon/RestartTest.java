package org.pomelohollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

class RestartTest {
  private static final int RESTARTS = 4;

  private static Fleet fleet;

  @BeforeAll
  static void start() {
    fleet = new Fleet().add("h1", "a", "front").add("h2", "b", "back").add("h3", "c", "back");
    fleet.publish("c1", 0, Fleet.document(Fleet.service("front") + Fleet.service("back")));
    Fleet.await(
        "both targets serve",
        () ->
            Fleet.status(fleet.daemon(0), "/back/x") == 200
                && fleet.target(0).counts().completed() >= 0
                && fleet.target(1).counts().completed() > 0
                && fleet.target(2).counts().completed() > 0);
    Fleet.awaitSettled(fleet.daemon(0), "/back/x");
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void gracefulRestartsCutNoRequest() throws Exception {
    assertEquals(List.of(), failuresDuringRestarts("/back/open"));
  }

  @Test
  @Tag("known-red")
  void gracefulRestartsRefuseNobodyWithinTheRate() throws Exception {
    assertEquals(List.of(), failuresDuringRestarts("/back/x"));
  }

  /**
   * Restarts the two hosts of a service in turn while requests are sent, and returns all responses
   * with a status other than 200.
   */
  private static List<String> failuresDuringRestarts(String path) throws InterruptedException {
    AtomicBoolean running = new AtomicBoolean(true);
    List<String> responses = new ArrayList<>();
    Thread load =
        new Thread(
            () -> {
              while (running.get()) {
                responses.add(Fleet.statusAndBody(fleet.daemon(0), path));
              }
            });
    load.start();
    for (int i = 0; i < RESTARTS; i++) {
      int host = 1 + i % 2;
      fleet.restart(host, "h" + (host + 1), host == 1 ? "b" : "c", "back");
      Fleet.await(
          "a request completes at the new target",
          () -> fleet.target(host).counts().completed() > 0);
    }
    running.set(false);
    load.join();
    assertTrue(responses.size() > RESTARTS, "too few requests during the restarts");
    return responses.stream().filter(a -> !a.startsWith("200")).toList();
  }

  @Test
  void metricsAndDumpShowTheDaemonWithoutSecrets() throws Exception {
    String admin = "http://" + fleet.daemon(0).adminAddress();
    String metrics = get(admin + "/metrics");
    assertTrue(metrics.contains("pomelohollow_config_version 1.0"), metrics);
    assertTrue(metrics.contains("pomelohollow_requests_seconds_count"), metrics);
    String dump = get(admin + "/dump");
    assertTrue(dump.contains("config") && dump.contains("members"), dump);
    for (String shown : List.of(metrics, dump, get(admin + "/dump.json"))) {
      assertTrue(!shown.contains(Fleet.API_KEY) && !shown.contains("secret for tests"), shown);
    }
  }

  private static String get(String uri) throws Exception {
    HttpRequest r = HttpRequest.newBuilder(URI.create(uri)).build();
    return Fleet.client().send(r, BodyHandlers.ofString()).body();
  }
}
