package org.pomelohollow.daemon.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.Node;
import org.pomelohollow.decision.NodeSettings;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.junit.RequestContexts;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.model.ZoneId;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;
import reactor.netty.resources.LoopResources;

class LocalAttemptHandlerTest {
  private static final int TIMEOUT_MILLIS = 5_000;

  private final LoopResources loops = LoopResources.create("attempt-test", 1, true);
  private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final TargetClient client =
      new TargetClient(loops, new StandaloneTargetProtocol(), () -> {});
  private final Node node =
      new Node(
          new Node.Setup(
              new Member(
                  new MemberId("h", 1),
                  new Endpoint("127.0.0.1", 1),
                  new ZoneId("z"),
                  Optional.empty(),
                  false),
              List.of(),
              NodeSettings.DEFAULT),
          (to, x, l) -> () -> {},
          () -> 0,
          () -> 0,
          new SplittableRandom(1),
          e -> {});
  private final LocalAttemptHandler handler =
      new LocalAttemptHandler(
          node, client, new TargetRequestRegistry(), () -> 0, (id, sent, now) -> {});

  @AfterEach
  void close() {
    loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
  }

  /**
   * A connection may be found reset by the write of the next request. Its slot must be free again,
   * although the write fails before the guard has handed the request over.
   */
  @Test
  void aRequestWhoseWriteFailsAtOnceFreesItsSlot() throws Exception {
    try (ServerSocket target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      TargetAnnouncement a =
          new TargetAnnouncement(
              new ServiceId("s"),
              new Endpoint("127.0.0.1", target.getLocalPort()),
              "i-1",
              8,
              8,
              false,
              0);
      onLoop(
          () -> {
            client.setTarget(a);
            node.handle(new Event.TargetAnnounced(a));
            return start("r1");
          });
      Socket s = target.accept();
      respond(s);
      assertEquals("200", outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      onLoop(
          () -> {
            s.setSoLinger(true, 0); // Resets the connection; the client does not read that yet.
            s.close();
            return start("r2");
          });
      assertEquals(
          "MayHaveRun[code=CONNECTION_LOST]", outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(0, onLoop(() -> node.guard().runningRequests().size()));
    }
  }

  private Runnable start(String id) {
    AttemptHead h =
        AttemptHead.of(
            RequestContexts.of(id, true),
            0,
            false,
            "GET",
            "/x",
            List.of(),
            Optional.empty(),
            Bytes.of(new byte[0]));
    return handler.startAttempt(h, Flux.empty(), new Recorder());
  }

  private static void respond(Socket s) throws IOException {
    StringBuilder request = new StringBuilder();
    while (request.indexOf("\r\n\r\n") < 0) {
      request.append((char) s.getInputStream().read());
    }
    s.getOutputStream()
        .write(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
  }

  private <T> T onLoop(Callable<T> c) throws Exception {
    return loops.onServer(true).next().submit(c).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Records the outcomes of attempts. */
  private final class Recorder implements ResponseListener {
    @Override
    public void responseStarted(ResponseHead head, Flux<ByteBuf> body) {
      outcomes.add("streamed");
    }

    @Override
    public void fullResponseReceived(ResponseHead head, ByteBuf body) {
      body.release();
      outcomes.add(Integer.toString(head.status()));
    }

    @Override
    public void failed(Verdict verdict, Optional<TargetLoad> load) {
      outcomes.add(verdict.toString());
    }
  }
}
