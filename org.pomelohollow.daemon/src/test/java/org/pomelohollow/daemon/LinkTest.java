package org.pomelohollow.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.pomelohollow.model.Endpoint;

class LinkTest {
  private static final int RESPONSE_BYTES = 64 << 20;

  private static Fleet fleet;

  @BeforeAll
  static void start() {
    fleet = new Fleet().add("h1", "a", "front").add("h2", "b", "back");
    fleet.publish("c1", 0, Fleet.document(Fleet.service("front") + Fleet.service("back")));
    Fleet.await(
        "requests reach the other host", () -> Fleet.status(fleet.daemon(0), "/back/x") == 200);
    Fleet.awaitSettled(fleet.daemon(0), "/back/x");
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void malformedConnectionsAreClosedWithoutEffectOnRequests() throws Exception {
    for (byte[] bad :
        List.of(
            "GET / HTTP/1.1\r\n\r\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII),
            new byte[] {0x7f, 0, 0, 0, 1},
            new byte[] {0, 0, 0, 3, 1, 2, 3},
            new byte[] {0, 0, 0, 0})) {
      Endpoint peer = fleet.daemon(1).peerAddress();
      try (Socket s = new Socket(peer.address(), peer.port())) {
        s.setSoTimeout((int) Fleet.TIMEOUT.toMillis());
        s.getOutputStream().write(bad);
        s.getInputStream().readAllBytes();
      }
    }
    assertServed();
  }

  @Test
  void aStalledStreamDoesNotBlockOthers() throws Exception {
    HttpResponse<InputStream> stalled =
        Fleet.client()
            .send(
                Fleet.request(fleet.daemon(0), "/back/x?bytes=" + RESPONSE_BYTES).build(),
                BodyHandlers.ofInputStream());
    try (InputStream in = stalled.body()) {
      in.readNBytes(1);
      for (int i = 0; i < 20; i++) {
        assertServed();
      }
      assertEquals(RESPONSE_BYTES - 1, in.transferTo(java.io.OutputStream.nullOutputStream()));
    }
  }

  private static void assertServed() {
    String response = Fleet.statusAndBody(fleet.daemon(0), "/back/x");
    assertTrue(response.startsWith("200 "), response);
  }
}
