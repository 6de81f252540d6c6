package org.pomelohollow.daemon;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.pomelohollow.standin.target.Payload;
import org.pomelohollow.standin.target.TargetFaults;

class PathTest {
  private static final int MEGABYTE = 1 << 20;

  private static Fleet fleet;

  @BeforeAll
  static void start() {
    fleet = new Fleet().add("h1", "a", "front", "/back/below").add("h2", "b", "back");
    fleet.publish("c1", 0, Fleet.document(Fleet.service("front") + Fleet.service("back")));
    Fleet.await(
        "requests reach both targets", () -> status("/back/x") == 200 && status("/front/x") == 200);
    Fleet.awaitSettled(fleet.daemon(0), "/back/x");
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void aRequestPassesTwoDaemonsWithoutTheApiKey() throws Exception {
    HttpResponse<String> r =
        send(
            Fleet.request(fleet.daemon(0), "/back/echo?q=1&q=a%20b%2Fc")
                .header("Twice", "one")
                .header("Twice", "two")
                .header("Pomelo-Request-Id", "forged")
                .header("Proxy-Connection", "keep-alive"));
    assertEquals(200, r.statusCode());
    assertTrue(r.body().startsWith("GET /back/echo?q=1&q=a%20b%2Fc\n"), r.body());
    assertTrue(r.body().contains("Twice: one\nTwice: two\n"), r.body());
    assertFalse(r.body().contains(Fleet.API_KEY), r.body());
    assertFalse(r.body().contains("forged"), r.body());
    assertFalse(r.body().contains("Proxy-Connection"), r.body());
    assertEquals(List.of("one", "two"), r.headers().allValues("Echo-Twice"));
    assertEquals("ran", r.headers().firstValue("Pomelo-Verdict").orElseThrow());
  }

  @Test
  void anEntryDaemonForwardsToItsOwnTargetWithoutALink() throws Exception {
    assertEquals(200, send(Fleet.request(fleet.daemon(0), "/front/x")).statusCode());
  }

  @Test
  void headHasALengthAndNoBody() throws Exception {
    HttpResponse<String> r =
        send(
            Fleet.request(fleet.daemon(0), "/back/x?bytes=5000")
                .method("HEAD", BodyPublishers.noBody()));
    assertEquals(200, r.statusCode());
    assertEquals("5000", r.headers().firstValue("Content-Length").orElseThrow());
    assertEquals("", r.body());
  }

  @Test
  void statusCodesAreForwarded() throws Exception {
    for (int s : new int[] {204, 304, 404, 418, 500}) {
      HttpResponse<String> r = send(Fleet.request(fleet.daemon(0), "/back/x?status=" + s));
      assertEquals(s, r.statusCode());
      assertEquals("ran", r.headers().firstValue("Pomelo-Verdict").orElseThrow());
    }
  }

  @Test
  void emptyShortAndChunkedBodiesAreForwarded() throws Exception {
    byte[] shortBody = "sleepers".getBytes(StandardCharsets.UTF_8);
    assertTrue(echo(BodyPublishers.noBody()).endsWith("\n\n"));
    assertTrue(echo(BodyPublishers.ofByteArray(shortBody)).endsWith("\n\nsleepers"));
    String chunked = echo(BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(shortBody)));
    assertTrue(chunked.endsWith("\n\nsleepers"), chunked);
  }

  @Test
  void aLargeUploadIsForwardedUnchanged() throws Exception {
    byte[] body = payload(3 * MEGABYTE);
    HttpResponse<byte[]> r =
        Fleet.client()
            .send(
                Fleet.request(fleet.daemon(0), "/back/echo")
                    .POST(BodyPublishers.ofByteArray(body))
                    .build(),
                BodyHandlers.ofByteArray());
    byte[] received = r.body();
    assertArrayEquals(
        body, Arrays.copyOfRange(received, received.length - body.length, received.length));
  }

  @Test
  void largeResponsesAreForwardedUnchanged() throws Exception {
    for (String query : List.of("bytes=8388608", "bytes=8388608&chunked=1")) {
      HttpResponse<byte[]> r =
          Fleet.client()
              .send(
                  Fleet.request(fleet.daemon(0), "/back/x?" + query).build(),
                  BodyHandlers.ofByteArray());
      assertArrayEquals(payload(8 * MEGABYTE), r.body());
    }
  }

  @Test
  void aTruncatedResponseIsNeverComplete() {
    for (String query : List.of("bytes=3000000", "bytes=3000000&chunked=1")) {
      fleet.target(1).setFaults(TargetFaults.NONE.withTruncatedResponses(true));
      try {
        assertThrows(
            IOException.class, () -> send(Fleet.request(fleet.daemon(0), "/back/x?" + query)));
      } finally {
        fleet.target(1).setFaults(TargetFaults.NONE);
      }
    }
  }

  @Test
  void aTargetsRefusalHasTheVerdictNotRun() throws Exception {
    fleet.target(1).setFaults(TargetFaults.NONE.withShedsAll(true));
    try {
      HttpResponse<String> r =
          send(Fleet.request(fleet.daemon(0), "/back/x").POST(BodyPublishers.noBody()));
      assertEquals(503, r.statusCode());
      assertEquals("not-run", r.headers().firstValue("Pomelo-Verdict").orElseThrow());
    } finally {
      fleet.target(1).setFaults(TargetFaults.NONE);
    }
  }

  @Test
  void aTargetsOutboundCallIsRoutedByItsDaemon() throws Exception {
    long completedBefore = fleet.target(1).counts().completed();
    HttpResponse<String> r = send(Fleet.request(fleet.daemon(0), "/front/chain"));
    assertEquals(200, r.statusCode());
    assertEquals(completedBefore + 1, fleet.target(1).counts().completed());
  }

  @Test
  void anOutboundCallWithoutARunningRequestIsRefused() throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(
                URI.create("http://" + fleet.daemon(0).targetAddress() + "/back/below"))
            .header("Pomelo-Request-Id", "no-such-request")
            .build();
    HttpResponse<String> a = Fleet.client().send(r, BodyHandlers.ofString());
    assertEquals(403, a.statusCode());
    assertEquals("PH-1503", a.headers().firstValue("Pomelo-Error").orElseThrow());
  }

  @Test
  void missingMalformedAndUnknownKeysGetTheSameResponse() throws Exception {
    String firstBody = null;
    for (String key : List.of("", "Basic abc", "Bearer", "Bearer unknown")) {
      HttpRequest.Builder b =
          HttpRequest.newBuilder(
              URI.create("http://" + fleet.daemon(0).callerAddress() + "/back/x"));
      if (!key.isEmpty()) {
        b.header("Authorization", key);
      }
      HttpResponse<String> r = send(b);
      assertEquals(401, r.statusCode());
      String body = r.body().replaceAll("\"requestId\":\"[^\"]*\"", "");
      firstBody = firstBody == null ? body : firstBody;
      assertEquals(firstBody, body);
    }
  }

  @Test
  void anUnknownRouteIsNotRun() throws Exception {
    HttpResponse<String> r = send(Fleet.request(fleet.daemon(0), "/nowhere"));
    assertEquals(404, r.statusCode());
    assertEquals("not-run", r.headers().firstValue("Pomelo-Verdict").orElseThrow());
  }

  @Test
  void malformedRequestsGetAnErrorWithoutEffectOnOthers() throws Exception {
    for (String bad :
        List.of(
            "nonsense\r\n\r\n",
            "GET /back/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
            "POST /back/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
            "GET /back/x HTTP/1.1\r\nHost: a\r\nbad header: x\r\n\r\n",
            "GET /back/x HTTP/1.1\r\nHost: a\r\nPomelo-Timeout-Ms: soon\r\n"
                + "Connection: close\r\n\r\n")) {
      try (RawCaller c = new RawCaller(fleet.daemon(0).callerAddress())) {
        assertTrue(c.write(bad).readHead().startsWith("HTTP/1.1 400 "), bad);
      }
    }
    assertEquals(200, status("/back/x"));
  }

  @Test
  void oversizedHeadsAndBodiesAreRefused() throws Exception {
    try (RawCaller c = new RawCaller(fleet.daemon(0).callerAddress())) {
      String head = "GET /back/x HTTP/1.1\r\nHost: a\r\nLong: " + "x".repeat(40_000) + "\r\n\r\n";
      String responseHead = c.write(head).readHead();
      assertTrue(
          responseHead.startsWith("HTTP/1.1 431 ") || responseHead.startsWith("HTTP/1.1 413 "),
          responseHead);
    }
    try (RawCaller c = new RawCaller(fleet.daemon(0).callerAddress())) {
      String head = "POST /back/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n";
      assertTrue(c.write(head).readHead().startsWith("HTTP/1.1 413 "));
    }
  }

  @Test
  void aCallerThatDisconnectsCancelsItsRequest() throws Exception {
    fleet.target(1).setFaults(TargetFaults.NONE.withSlowdown(20_000));
    long cancelledBefore = fleet.target(1).counts().cancelled();
    try (RawCaller c = new RawCaller(fleet.daemon(0).callerAddress())) {
      long startedBefore = fleet.target(1).counts().started();
      c.write(
          "GET /back/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + Fleet.API_KEY + "\r\n\r\n");
      Fleet.await("request runs", () -> fleet.target(1).counts().started() > startedBefore);
    } finally {
      fleet.target(1).setFaults(TargetFaults.NONE);
    }
    Fleet.await(
        "request is cancelled", () -> fleet.target(1).counts().cancelled() > cancelledBefore);
  }

  /** The end of a response that waits for its turn must not end the connection. */
  @Test
  void aStreamedResponsePastItsDeadlineLeavesTheResponsesBeforeItAlone() throws Exception {
    fleet.target(0).setFaults(TargetFaults.NONE.withSlowdown(1_500));
    try (RawCaller c = new RawCaller(fleet.daemon(0).callerAddress())) {
      String end = " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + Fleet.API_KEY + "\r\n";
      c.write("GET /front/x" + end + "\r\n");
      c.write("GET /back/x?bytes=3000000" + end + "Connection: close\r\n");
      String all = c.write("Pomelo-Timeout-Ms: 300\r\n\r\n").readAll();
      assertTrue(all.startsWith("HTTP/1.1 200 "), all);
      int second = all.indexOf("HTTP/1.1 504 ");
      assertTrue(second > 0 && all.indexOf("may-have-run", second) > 0, all);
    } finally {
      fleet.target(0).setFaults(TargetFaults.NONE);
    }
  }

  private static String echo(HttpRequest.BodyPublisher body) throws Exception {
    HttpResponse<String> r = send(Fleet.request(fleet.daemon(0), "/back/echo").POST(body));
    assertEquals(200, r.statusCode());
    return r.body();
  }

  private static HttpResponse<String> send(HttpRequest.Builder b)
      throws IOException, InterruptedException {
    return Fleet.client().send(b.build(), BodyHandlers.ofString());
  }

  private static byte[] payload(int n) {
    byte[] b = new byte[n];
    for (int i = 0; i < n; i++) {
      b[i] = Payload.byteAt(i);
    }
    return b;
  }

  private static int status(String path) {
    return Fleet.status(fleet.daemon(0), path);
  }
}
