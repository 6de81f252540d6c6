package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.junit.RequestContexts;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.ResponseHead;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/**
 * A host that is paused for some seconds sends nothing. Its running requests must neither be cut
 * nor, if they may run once only, be given up.
 */
class SilentLinkTest {
  private static final PeerSecret SECRET = PeerSecret.of("a secret for tests only");
  private static final long SILENCE_NANOS = Duration.ofSeconds(4).toNanos();
  private static final TargetLoad LOAD = new TargetLoad(8, 1, 0, Priority.NONE_SHED, 0);

  private final List<ResponseListener> running = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final WireCodec codec = new WireCodec();
  private final Link entry = link("entry", true);
  private final Link target = link("target", false);
  private final Outcome read = new Outcome();
  private final Outcome write = new Outcome();
  private EmbeddedChannel entryChannel;
  private EmbeddedChannel targetChannel;

  @BeforeEach
  void startTwoRequests() {
    entryChannel = new EmbeddedChannel(entry);
    targetChannel = new EmbeddedChannel(target);
    deliver();
    entry.startAttempt(head("read", true), Flux.empty(), read);
    entry.startAttempt(head("write", false), Flux.empty(), write);
    deliver();
    assertEquals(2, running.size());
  }

  @Test
  void onlyIdempotentRequestsOnASilentLinkEnd() {
    entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertEquals("may have run", read.text);
    assertEquals("", write.text);
    assertFalse(entry.isUp());
    assertTrue(entryChannel.isActive());
  }

  /** A response that has started cannot be had elsewhere. */
  @Test
  void aResponseThatHasStartedGoesOn() {
    running
        .get(0)
        .responseStarted(new ResponseHead(200, List.of(), LOAD, Optional.empty()), Flux.never());
    deliver();
    entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    deliver();
    assertEquals("started", read.text);
    assertEquals(List.of(), cancelled);
  }

  @Test
  void theResponseOfAHostThatResumesIsDelivered() {
    entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    deliver();
    assertEquals(List.of("read"), cancelled);
    running
        .get(1)
        .fullResponseReceived(
            new ResponseHead(200, List.of(), LOAD, Optional.empty()),
            Unpooled.wrappedBuffer(new byte[2]));
    deliver();
    assertEquals("200", write.text);
    assertTrue(entry.isUp());
  }

  @Test
  void aSilentEntryDaemonDoesNotCancelWhatRuns() {
    target.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertEquals(List.of(), cancelled);
    assertTrue(targetChannel.isActive());
  }

  @Test
  void aSilentLinkWithoutStreamsIsClosed() {
    running.forEach(
        l ->
            l.fullResponseReceived(
                new ResponseHead(200, List.of(), LOAD, Optional.empty()), Unpooled.EMPTY_BUFFER));
    deliver();
    entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertFalse(entryChannel.isActive());
  }

  private Link link(String host, boolean initiator) {
    Handshake h = new Handshake(SECRET, new MemberId(host, 1), initiator);
    return new Link(codec, h, initiator, new NoListener(), this::startAttempt);
  }

  private Runnable startAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener l) {
    running.add(l);
    return () -> cancelled.add(head.requestId());
  }

  /** Delivers frames both ways until there are none left. */
  private void deliver() {
    boolean delivered;
    do {
      delivered = deliver(entryChannel, targetChannel) || deliver(targetChannel, entryChannel);
    } while (delivered);
  }

  private static boolean deliver(EmbeddedChannel from, EmbeddedChannel to) {
    Frame f = from.readOutbound();
    if (f == null) {
      return false;
    }
    to.writeInbound(f);
    return true;
  }

  private static AttemptHead head(String id, boolean idempotent) {
    RequestContext c = RequestContexts.of(id, idempotent);
    return AttemptHead.of(
        c, 0, false, "GET", "/x", List.of(), Optional.empty(), Bytes.of(new byte[0]));
  }

  /** Records the outcome of an attempt. */
  private static final class Outcome implements ResponseListener {
    private String text = "";

    @Override
    public void responseStarted(ResponseHead head, Flux<ByteBuf> content) {
      text = "started";
    }

    @Override
    public void fullResponseReceived(ResponseHead head, ByteBuf content) {
      text = Integer.toString(head.status());
      content.release();
    }

    @Override
    public void failed(Verdict verdict, Optional<TargetLoad> load) {
      text = verdict instanceof Verdict.MayHaveRun ? "may have run" : "not run";
    }
  }

  private static final class NoListener implements LinkListener {
    @Override
    public void linkUp(Link link) {}

    @Override
    public void linkDown(Link link, boolean wasUp) {}

    @Override
    public void linkFailed(Link link, Throwable cause) {
      throw new AssertionError(cause);
    }

    @Override
    public void messageReceived(Link link, PeerMessage message, int bytes) {}
  }
}
