package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;

/**
 * A host that is paused for some seconds sends nothing. Its running requests must neither be cut
 * nor, if they may run once only, be given up.
 */
class SilentLinkTest {
  private static final long SILENCE_NANOS = Duration.ofSeconds(4).toNanos();
  private static final TargetLoad LOAD = new TargetLoad(8, 1, 0, Priority.NONE_SHED, 0);

  private final LinkPair links = new LinkPair();
  private final Outcome read = new Outcome();
  private final Outcome write = new Outcome();

  @BeforeEach
  void startTwoRequests() {
    links.entry.startAttempt(LinkPair.head("read", true), Flux.empty(), read);
    links.entry.startAttempt(LinkPair.head("write", false), Flux.empty(), write);
    links.deliver();
    assertEquals(2, links.running.size());
  }

  @Test
  void onlyIdempotentRequestsOnASilentLinkEnd() {
    links.entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertEquals("may have run", read.text);
    assertEquals("", write.text);
    assertFalse(links.entry.isUp());
    assertTrue(links.entryChannel.isActive());
  }

  /** A response that has started cannot be had elsewhere. */
  @Test
  void aResponseThatHasStartedGoesOn() {
    links
        .running
        .get(0)
        .responseStarted(new ResponseHead(200, List.of(), LOAD, Optional.empty()), Flux.never());
    links.deliver();
    links.entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    links.deliver();
    assertEquals("started", read.text);
    assertEquals(List.of(), links.cancelled);
  }

  @Test
  void theResponseOfAHostThatResumesIsDelivered() {
    links.entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    links.deliver();
    assertEquals(List.of("read"), links.cancelled);
    links
        .running
        .get(1)
        .fullResponseReceived(
            new ResponseHead(200, List.of(), LOAD, Optional.empty()),
            Unpooled.wrappedBuffer(new byte[2]));
    links.deliver();
    assertEquals("200", write.text);
    assertTrue(links.entry.isUp());
  }

  @Test
  void aSilentEntryDaemonDoesNotCancelWhatRuns() {
    links.target.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertEquals(List.of(), links.cancelled);
    assertTrue(links.targetChannel.isActive());
  }

  @Test
  void aSilentLinkWithoutStreamsIsClosed() {
    links.running.forEach(
        l ->
            l.fullResponseReceived(
                new ResponseHead(200, List.of(), LOAD, Optional.empty()), Unpooled.EMPTY_BUFFER));
    links.deliver();
    links.entry.checkSilence(System.nanoTime() + SILENCE_NANOS);
    assertFalse(links.entryChannel.isActive());
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
}
