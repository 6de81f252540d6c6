package org.pomelohollow.daemon.internal.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.pomelohollow.daemon.internal.io.BodyBudget;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.SimpleResponses;
import org.pomelohollow.daemon.settings.Settings;
import org.pomelohollow.model.Endpoint;
import reactor.core.publisher.Sinks;
import reactor.netty.resources.LoopResources;

class CallerServerTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int ARRIVAL_MILLIS = 50;
  private static final int PIPELINED = 64;

  /** Time within which work for a caller that has left must end, in milliseconds. */
  private static final int CANCEL_MILLIS = 500;

  private static final String FAILING_PATH = "/fails";
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

  private final LoopResources loops = LoopResources.create("caller-server-test", 1, true);
  private final BlockingQueue<InboundRequest> received = new LinkedBlockingQueue<>();
  private final AtomicInteger leftBeforeStart = new AtomicInteger();
  private final List<Long> startedNanos = new CopyOnWriteArrayList<>();
  private final InboundServer server =
      InboundServer.start(
          new Endpoint(LOOPBACK, 0),
          loops,
          Settings.Limits.DEFAULT,
          new BodyBudget(1 << 30),
          () -> false,
          () -> {},
          this::receive);

  @AfterEach
  void close() {
    server.close();
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  @Test
  void anIdleConnectionIsClosedWhenTheServerDrains() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST);
      InboundRequest first = next();
      onLoop(() -> first.respond(SimpleResponses.empty(HttpResponseStatus.OK)));
      s.getInputStream().readNBytes("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".length());
      onLoop(server::drain);
      assertEquals(-1, s.getInputStream().read());
    }
  }

  @Test
  void aDrainingServerRespondsToAcceptedRequestsAndAcceptsNoMore() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST + REQUEST);
      InboundRequest first = next();
      InboundRequest second = next();
      onLoop(server::drain);
      send(s, REQUEST);
      onLoop(() -> first.respond(SimpleResponses.text(HttpResponseStatus.OK, "first")));
      onLoop(() -> second.respond(SimpleResponses.text(HttpResponseStatus.OK, "second")));
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(all.indexOf("first") < all.indexOf("second") && all.endsWith("second"), all);
      assertTrue(all.contains("connection: close"), all);
      assertTrue(received.isEmpty());
    }
  }

  /**
   * A caller takes a response without {@code Connection: close} as leave to send its next request,
   * which must not be discarded.
   */
  @Test
  void aRequestBehindAStreamedResponseThatBeganBeforeTheDrainIsAnswered() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST);
      InboundRequest first = next();
      Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
      onLoop(
          () ->
              first.respond(
                  new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
                  body.asFlux()));
      assertFalse(readUntil(s, "\r\n\r\n").contains("close"));
      onLoop(server::drain);
      onLoop(body::tryEmitComplete);
      readUntil(s, "0\r\n\r\n");
      send(s, REQUEST);
      InboundRequest second = next();
      assertNotNull(second, "the request behind the streamed response was not handled");
      onLoop(() -> second.respond(SimpleResponses.text(HttpResponseStatus.OK, "second")));
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(all.contains("connection: close") && all.endsWith("second"), all);
    }
  }

  @Test
  void aConnectionWhoseStreamedResponseBeganBeforeTheDrainIsClosedIfNoRequestFollows()
      throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST);
      InboundRequest first = next();
      Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
      onLoop(
          () ->
              first.respond(
                  new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK),
                  body.asFlux()));
      onLoop(server::drain);
      onLoop(body::tryEmitComplete);
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(all.endsWith("0\r\n\r\n"), all);
    }
  }

  /** Responses that the caller has not read yet stand in the write queue of the connection. */
  @Test
  void responsesThatAreNotWrittenYetReachTheirCallerAfterTheDrain() throws Exception {
    int responses = 4;
    String body = "b".repeat(4 << 20);
    try (Socket s = connect()) {
      send(s, REQUEST.repeat(responses));
      for (int i = 0; i < responses; i++) {
        InboundRequest r = next();
        onLoop(() -> r.respond(SimpleResponses.text(HttpResponseStatus.OK, body)));
      }
      onLoop(server::drain);
      onLoop(() -> assertFalse(server.isDrained()));
      byte[] all = s.getInputStream().readAllBytes();
      assertTrue(all.length > responses * body.length(), all.length + " bytes");
    }
    onLoop(() -> assertTrue(server.isDrained()));
  }

  /** Parts of a body that nobody reads paused the connection for good. */
  @Test
  void aRequestBehindALongBodyThatWasRefusedIsAnswered() throws Exception {
    int length = 2 << 20;
    try (Socket s = connect()) {
      send(s, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\n");
      send(s, "b".repeat(length / 2));
      InboundRequest first = next();
      onLoop(() -> first.respond(SimpleResponses.empty(HttpResponseStatus.TOO_MANY_REQUESTS)));
      send(s, "b".repeat(length / 2) + REQUEST);
      assertNotNull(next(), "the request behind the body was not read");
    }
  }

  /** The last response may have announced the end of the connection before the drain. */
  @Test
  void aLastResponseThatIsNotWrittenYetReachesItsCallerAfterTheDrain() throws Exception {
    String body = "b".repeat(16 << 20);
    try (Socket s = connect()) {
      send(s, REQUEST.replace("Host", "Connection: close\r\nHost"));
      InboundRequest r = next();
      onLoop(() -> r.respond(SimpleResponses.text(HttpResponseStatus.OK, body)));
      onLoop(server::drain);
      assertTrue(s.getInputStream().readAllBytes().length > body.length());
    }
  }

  /** Each response that a caller does not read takes memory until it is written. */
  @Test
  void requestsWaitWhileResponsesToEarlierOnesAreNotWritten() throws Exception {
    String body = "b".repeat(1 << 20);
    int inOneRead = 2 * PIPELINED;
    try (Socket s = connect()) {
      send(s, REQUEST.repeat(inOneRead));
      for (int i = 0; i < inOneRead; i++) {
        InboundRequest r = next();
        onLoop(() -> r.respond(SimpleResponses.text(HttpResponseStatus.OK, body)));
      }
      send(s, REQUEST);
      assertNull(received.poll(ARRIVAL_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /** A connection that is closed with unread bytes is reset, which can destroy its responses. */
  @Test
  void aCallerWhoseLastBytesAreUnreadIsNotReset() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST);
      InboundRequest last = next();
      onLoop(server::drain);
      // Runs on the event loop, so that the second request is unread when the response is sent.
      loops
          .onServer(true)
          .next()
          .submit(
              () -> {
                send(s, REQUEST);
                Thread.sleep(ARRIVAL_MILLIS);
                last.respond(SimpleResponses.text(HttpResponseStatus.OK, "last"));
                return true;
              })
          .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      Thread.sleep(ARRIVAL_MILLIS);
      String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(all.contains("connection: close") && all.endsWith("last"), all);
      assertTrue(received.isEmpty());
    }
  }

  @Test
  void anInterimResponseDoesNotPrecedeTheResponseToAnEarlierRequest() throws Exception {
    try (Socket s = connect()) {
      send(
          s,
          REQUEST
              + "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
              + "Content-Length: 2\r\n\r\n");
      InboundRequest first = next();
      onLoop(() -> {});
      onLoop(() -> first.respond(SimpleResponses.text(HttpResponseStatus.OK, "first")));
      String interim = "HTTP/1.1 100 Continue\r\n\r\n";
      StringBuilder all = new StringBuilder();
      while (!all.toString().endsWith(interim)) {
        all.append((char) s.getInputStream().read());
      }
      assertTrue(all.toString().endsWith("first" + interim), all.toString());
      send(s, "hi");
      InboundRequest second = next();
      onLoop(() -> second.respond(SimpleResponses.text(HttpResponseStatus.OK, "second")));
      while (!all.toString().endsWith("second")) {
        all.append((char) s.getInputStream().read());
      }
    }
  }

  @Test
  void aRequestThatIsReadAfterItsCallerHasLeftIsNotStarted() throws Exception {
    onLoop(
        () -> {
          try (Socket s = connect()) {
            send(s, REQUEST);
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
    next();
    assertEquals(1, leftBeforeStart.get());
  }

  @Test
  void aRequestThatCannotBeHandledClosesItsConnection() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST.replace("/x", FAILING_PATH));
      assertEquals(-1, s.getInputStream().read());
    }
  }

  @Test
  void theTimeLimitOfARequestCountsTheTimeThatItWaitsForOthersReadWithIt() throws Exception {
    try (Socket s = connect()) {
      send(s, REQUEST + REQUEST);
      next();
      long firstStartedNanos = startedNanos.get(0);
      assertTrue(next().receivedNanos() - firstStartedNanos <= 0);
    }
  }

  @Test
  void aCallerThatLeavesWhileReadingIsPausedEndsItsRequests() throws Exception {
    CountDownLatch ended = new CountDownLatch(PIPELINED);
    try (Socket s = connect()) {
      send(s, REQUEST.repeat(PIPELINED + 1));
      for (int i = 0; i < PIPELINED; i++) {
        InboundRequest r = next();
        onLoop(() -> r.onDisconnect(ended::countDown));
      }
    }
    assertTrue(ended.await(CANCEL_MILLIS, TimeUnit.MILLISECONDS), ended + " still run");
  }

  @Test
  @EnabledOnOs(OS.LINUX)
  void theNativeTransportIsThereForThisKindOfMachine() {
    assertTrue(LoopResources.hasNativeSupport());
  }

  private void receive(InboundRequest in) {
    startedNanos.add(System.nanoTime());
    AtomicBoolean starting = new AtomicBoolean(true);
    in.onDisconnect(() -> leftBeforeStart.addAndGet(starting.get() ? 1 : 0));
    starting.set(false);
    if (in.head().uri().equals(FAILING_PATH)) {
      throw new IllegalStateException("fails for the test");
    }
    received.add(in);
  }

  private Socket connect() throws IOException {
    Socket s = new Socket(InetAddress.getLoopbackAddress(), server.address().port());
    s.setSoTimeout(TIMEOUT_MILLIS);
    return s;
  }

  private static void send(Socket s, String text) throws IOException {
    s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String readUntil(Socket s, String end) throws IOException {
    StringBuilder all = new StringBuilder();
    while (all.indexOf(end) < 0) {
      int b = s.getInputStream().read();
      assertTrue(b >= 0, "ended after " + all);
      all.append((char) b);
    }
    return all.toString();
  }

  private InboundRequest next() throws InterruptedException {
    return received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void onLoop(Runnable r) throws Exception {
    loops.onServer(true).next().submit(r).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
