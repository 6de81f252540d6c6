package org.pomelohollow.daemon.internal.call;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.junit.RequestContexts;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.ReportedLoad;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Bytes;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

class TargetConnectionTest {
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok";
  private static final int PART_BYTES = 64 * 1024;
  private static final int MAX_HELD_BYTES = 2 << 20;

  private final List<TargetConnection> reusable = new ArrayList<>();
  private final Recorder recorder = new Recorder();
  private final TargetConnection connection =
      new TargetConnection(
          new TargetResponseDecoder(new HttpDecoderConfig()), reusable::add, () -> {});
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new HttpRequestEncoder(), connection.decoder(), connection);

  @Test
  void aConnectionIsReusedAfterAWholeExchange() {
    send(Optional.empty(), Flux.empty());
    receive(RESPONSE);
    assertEquals(List.of(connection), reusable);
    assertEquals("200 ok", recorder.outcome);
  }

  @Test
  void aConnectionIsNotUsedAfterTheIdleTimeoutThatItsTargetNames() {
    send(Optional.empty(), Flux.empty());
    receive(RESPONSE.replace("Content-Length", "Keep-Alive: timeout=2, max=9\r\nContent-Length"));
    long end = System.nanoTime();
    assertTrue(connection.isUsable(end));
    assertFalse(connection.isUsable(end + Duration.ofSeconds(1).toNanos()));
  }

  @Test
  void aKeepAliveFieldWithoutATimeoutChangesNothing() {
    for (String value : List.of("", "max=9", "timeout=", "timeout=99999999", "mytimeout=1")) {
      assertEquals(
          IdleLimit.DEFAULT, IdleLimit.after(new DefaultHttpHeaders().set("Keep-Alive", value)));
    }
    assertEquals(IdleLimit.DEFAULT, IdleLimit.after(new DefaultHttpHeaders()));
  }

  /**
   * A target may respond before it has read a long body. The bytes of the next request would then
   * be read as the rest of that body.
   */
  @Test
  void aConnectionIsNotReusedBeforeTheRequestBodyWasSent() {
    Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
    send(Optional.of(10L), body.asFlux());
    body.tryEmitNext(Unpooled.copiedBuffer("12345", StandardCharsets.ISO_8859_1)).orThrow();
    receive(RESPONSE);
    assertEquals("200 ok", recorder.outcome);
    assertEquals(List.of(), reusable);
    assertFalse(channel.isActive());
  }

  @Test
  void aConnectionIsReusedOnceTheRequestBodyWasSent() {
    send(Optional.of(5L), Flux.just(Unpooled.copiedBuffer("12345", StandardCharsets.ISO_8859_1)));
    receive(RESPONSE);
    assertEquals(List.of(connection), reusable);
  }

  @Test
  void readingPausesWhileTheCallerReadsNoneOfAResponseWithoutEnd() {
    send(Optional.empty(), Flux.empty());
    receive("HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\n\r\n");
    int sent = 0;
    while (channel.config().isAutoRead() && sent < 10 * MAX_HELD_BYTES) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
      sent += PART_BYTES;
    }
    assertTrue(sent <= MAX_HELD_BYTES, "held " + sent + " bytes");
    recorder.readAll();
    assertTrue(channel.config().isAutoRead());
  }

  /** The end of a response may arrive together with the part that pauses reading. */
  @Test
  void readingResumesWhenTheResponseEndsBeforeTheCallerHasReadIt() {
    int parts = 10;
    send(Optional.empty(), Flux.empty());
    receive(
        "HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nContent-Length: "
            + parts * PART_BYTES
            + "\r\n\r\n");
    for (int i = 0; i < parts - 1; i++) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    }
    assertFalse(channel.config().isAutoRead());
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    assertEquals(List.of(connection), reusable);
    assertTrue(channel.config().isAutoRead());
    recorder.readAll();
    assertEquals("complete", recorder.outcome);
  }

  /** Unread parts of a response whose caller left were never released. */
  @Test
  void theUnreadPartsOfACancelledResponseAreReleased() {
    List<ByteBuf> parts = new ArrayList<>();
    send(Optional.empty(), Flux.empty());
    receive("HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nContent-Length: 9000000\r\n\r\n");
    for (int i = 0; i < 8; i++) {
      ByteBuf b = Unpooled.wrappedBuffer(new byte[PART_BYTES]);
      parts.add(b);
      channel.writeInbound(b);
    }
    recorder.reader.orElseThrow().cancel();
    channel.close();
    assertEquals(List.of(), parts.stream().filter(b -> b.refCnt() > 0).toList());
  }

  @Test
  void aStreamedResponseThatIsCutIsNotComplete() {
    send(Optional.empty(), Flux.empty());
    receive("HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nContent-Length: 9000000\r\n\r\n");
    for (int i = 0; i < 5; i++) {
      channel.writeInbound(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    }
    recorder.readAll();
    channel.close();
    assertEquals("truncated", recorder.outcome);
  }

  /**
   * A transport whose write fails closes the channel without an exception event, which the decoder
   * cannot tell from the end of a body without a length.
   */
  @Test
  void aResponseWithoutALengthIsNotCompleteIfTheRequestBodyCannotBeWritten() {
    Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
    send(Optional.of(10L), body.asFlux());
    receive("HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\n\r\nbegin");
    channel.pipeline().addFirst(new FailingTransport());
    body.tryEmitNext(Unpooled.copiedBuffer("12345", StandardCharsets.ISO_8859_1)).orThrow();
    channel.runPendingTasks();
    assertFalse(channel.isActive());
    assertEquals("failed, reached, CONNECTION_LOST", recorder.outcome);
  }

  /** The parts that a target does not read yet must stay where the caller can be paused. */
  @Test
  void aRequestBodyWaitsForATargetThatReadsSlowly() {
    AtomicInteger taken = new AtomicInteger();
    channel.pipeline().addFirst(new StandingTransport());
    Flux<ByteBuf> body =
        Flux.range(0, 100)
            .map(i -> Unpooled.wrappedBuffer(new byte[PART_BYTES]))
            .doOnNext(b -> taken.incrementAndGet());
    send(Optional.of(100L * PART_BYTES), body);
    assertTrue(taken.get() <= 2, taken + " parts were taken");
  }

  @Test
  void aResponseWithoutALengthEndsWithItsConnectionWhileTheRequestIsStillBeingSent() {
    Sinks.Many<ByteBuf> body = Sinks.many().unicast().onBackpressureBuffer();
    send(Optional.of(10L), body.asFlux());
    receive("HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\n\r\nwhole");
    channel.close();
    assertEquals("200 whole", recorder.outcome);
  }

  @Test
  void headsAndResponsesOfOthersWithoutEndCloseTheConnection() {
    String text = "x".repeat(1_000);
    for (String start :
        List.of(
            "",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "0\r\n",
            "HTTP/1.1 200 OK\r\nPomelo-Request-Id: other\r\n\r\n")) {
      TargetConnectionTest t = new TargetConnectionTest();
      t.send(Optional.empty(), Flux.empty());
      t.receive(start);
      int sent = 0;
      while (t.channel.isActive() && sent < 10 * MAX_HELD_BYTES) {
        t.receive(text);
        sent += text.length();
      }
      assertFalse(t.channel.isActive(), "open after " + sent + " bytes that follow " + start);
      assertTrue(t.recorder.outcome.startsWith("failed, reached"), t.recorder.outcome);
      assertTrue(t.reusable.isEmpty());
    }
  }

  /** Each of these is complete by itself, so that no limit of a head or a body applies. */
  @Test
  void messagesWithoutEndThatAreNotTheResponseCloseTheConnection() {
    for (String message :
        List.of(
            "HTTP/1.1 102 Processing\r\n\r\n",
            "HTTP/1.1 200 OK\r\nPomelo-Request-Id: other\r\nContent-Length: 0\r\n\r\n")) {
      TargetConnectionTest t = new TargetConnectionTest();
      t.send(Optional.empty(), Flux.empty());
      int sent = 0;
      while (t.channel.isActive() && sent < MAX_HELD_BYTES) {
        t.receive(message);
        sent += message.length();
      }
      assertFalse(t.channel.isActive(), "open after " + sent + " bytes of " + message);
      assertEquals("failed, reached, ANSWER_MALFORMED", t.recorder.outcome);
      assertTrue(t.reusable.isEmpty());
    }
  }

  /** A target responded with status 000, which its caller got as a response. */
  @Test
  void aStatusThatIsNoneOfAFinalResponseFailsTheExchange() {
    for (String status : List.of("000", "099", "99", "600", "999", "101")) {
      TargetConnectionTest t = new TargetConnectionTest();
      t.send(Optional.empty(), Flux.empty());
      t.receive(RESPONSE.replace("200 OK", status + " X"));
      assertEquals("failed, reached, ANSWER_MALFORMED", t.recorder.outcome, status);
      assertFalse(t.channel.isActive());
    }
  }

  @Test
  void theFirstAndTheLastFinalStatusAndInterimResponsesAreAccepted() {
    for (String status : List.of("200", "599")) {
      TargetConnectionTest t = new TargetConnectionTest();
      t.send(Optional.empty(), Flux.empty());
      t.receive("HTTP/1.1 103 Early Hints\r\n\r\n" + RESPONSE.replace("200", status));
      assertEquals(status + " ok", t.recorder.outcome);
    }
  }

  @Test
  void aHeadOfManyFieldsAndAChunkOfEndlessSizeCloseTheConnection() {
    for (List<String> startAndPart :
        List.of(
            List.of("HTTP/1.1 200 OK\r\n", "Field: value\r\n"),
            List.of("HTTP/1.1 100 Continue\r\n", "Field: value\r\n"),
            List.of(
                "HTTP/1.1 200 OK\r\nPomelo-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                "extension;"))) {
      TargetConnectionTest t = new TargetConnectionTest();
      t.send(Optional.empty(), Flux.empty());
      t.receive(startAndPart.get(0));
      int sent = 0;
      while (t.channel.isActive() && sent < MAX_HELD_BYTES) {
        t.receive(startAndPart.get(1));
        sent += startAndPart.get(1).length();
      }
      assertFalse(t.channel.isActive(), "open after " + sent + " bytes of " + startAndPart);
    }
  }

  @Test
  void aLateSecondCopyOfAnEarlierResponseIsSkipped() {
    send(Optional.empty(), Flux.empty());
    receive(RESPONSE);
    recorder.outcome = "";
    send(Optional.empty(), Flux.empty(), "r2");
    receive(RESPONSE);
    assertEquals("", recorder.outcome);
    receive(RESPONSE.replace("r1", "r2").replace("\r\n\r\nok", "\r\n\r\nme"));
    assertEquals("200 me", recorder.outcome);
  }

  private void send(Optional<Long> streamedLength, Flux<ByteBuf> body) {
    send(streamedLength, body, "r1");
  }

  private void send(Optional<Long> streamedLength, Flux<ByteBuf> body, String id) {
    RequestContext c = RequestContexts.of(id, true);
    AttemptHead h =
        AttemptHead.of(
            c,
            0,
            false,
            "POST",
            "/x",
            streamedLength
                .map(n -> List.of(new HeaderField("content-length", n.toString())))
                .orElse(List.of()),
            streamedLength,
            Bytes.of(new byte[0]));
    TargetExchange x = new TargetExchange(h, c, body, new StandaloneTargetProtocol(), recorder);
    connection.send(
        x,
        new TargetAnnouncement(
            new ServiceId("s"), new Endpoint("127.0.0.1", 1), "i-1", 8, 8, false, 0),
        0,
        () -> {});
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Accepts what is written and never writes it. */
  private static final class StandingTransport extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      ReferenceCountUtil.release(msg);
    }
  }

  /** Fails what is written at the flush, then closes the channel, as Netty's sockets do. */
  private static final class FailingTransport extends ChannelOutboundHandlerAdapter {
    private final List<ChannelPromise> unflushed = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      ReferenceCountUtil.release(msg);
      unflushed.add(promise);
    }

    @Override
    public void flush(ChannelHandlerContext ctx) {
      unflushed.forEach(p -> p.tryFailure(new IOException("Connection reset by peer")));
      ctx.close();
    }
  }

  /** Records the outcome of an exchange; reads a streamed body only when told to. */
  private static final class Recorder implements TargetExchangeListener {
    private String outcome = "";
    private Optional<Reader> reader = Optional.empty();

    @Override
    public void headReceived(TargetNotice notice, Optional<ReportedLoad> load, long sentNanos) {
      // The outcome alone is recorded.
    }

    @Override
    public void responseStarted(int status, StreamedResponse response) {
      Reader r = new Reader();
      reader = Optional.of(r);
      response.body().subscribe(r);
    }

    @Override
    public void fullResponseReceived(int status, List<HeaderField> headers, ByteBuf body) {
      outcome = status + " " + body.toString(StandardCharsets.ISO_8859_1);
      body.release();
    }

    @Override
    public void shed(long retryAfterMillis) {
      outcome = "shed";
    }

    @Override
    public void failed(boolean reached, ErrorCode code) {
      outcome = "failed, " + (reached ? "reached, " : "") + code;
    }

    void readAll() {
      reader.orElseThrow().request(Long.MAX_VALUE);
    }

    private final class Reader extends BaseSubscriber<ByteBuf> {
      @Override
      protected void hookOnSubscribe(Subscription s) {
        // Nothing is requested yet.
      }

      @Override
      protected void hookOnNext(ByteBuf b) {
        b.release();
      }

      @Override
      protected void hookOnComplete() {
        outcome = "complete";
      }

      @Override
      protected void hookOnError(Throwable t) {
        outcome = "truncated";
      }
    }
  }
}
