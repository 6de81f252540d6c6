package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;

class CancelledAttemptTest {
  private final LinkPair links = new LinkPair();

  @Test
  void anAttemptThatIsReadTogetherWithItsCancellationIsNotStarted() {
    links.entry.startAttempt(LinkPair.head("given-up", true), Flux.empty(), new NoOutcome()).run();
    links.entry.startAttempt(LinkPair.head("wanted", true), Flux.empty(), new NoOutcome());
    links.deliverTogether();
    assertEquals(1, links.running.size());
    assertEquals(List.of(), links.cancelled);
  }

  @Test
  void aRunningAttemptIsCancelled() {
    Runnable cancel =
        links.entry.startAttempt(LinkPair.head("running", true), Flux.empty(), new NoOutcome());
    links.deliver();
    cancel.run();
    links.deliver();
    assertEquals(List.of("running"), links.cancelled);
  }

  /** Fails the test if a cancelled or running attempt has an outcome. */
  private static final class NoOutcome implements ResponseListener {
    @Override
    public void responseStarted(ResponseHead head, Flux<ByteBuf> content) {
      throw new AssertionError("response started");
    }

    @Override
    public void fullResponseReceived(ResponseHead head, ByteBuf content) {
      throw new AssertionError("response received");
    }

    @Override
    public void failed(Verdict verdict, Optional<TargetLoad> load) {
      throw new AssertionError("failed: " + verdict);
    }
  }
}
