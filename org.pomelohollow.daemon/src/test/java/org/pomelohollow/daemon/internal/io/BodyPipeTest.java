package org.pomelohollow.daemon.internal.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

class BodyPipeTest {
  private static final int PART_BYTES = 1_000;

  private final BodyBudget budget = new BodyBudget(10 * PART_BYTES);
  private final BodyPipe pipe = new BodyPipe(budget, () -> {});
  private final List<ByteBuf> parts = new ArrayList<>();

  @Test
  void aPipeHoldsNoMoreThanOneReadOnceTheBudgetOfAllIsSpent() {
    BodyPipe other = new BodyPipe(budget, () -> {});
    for (int i = 0; i < 10; i++) {
      other.add(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    }
    assertTrue(budget.isSpent());
    assertFalse(pipe.isFull());
    add();
    assertTrue(pipe.isFull());
    other.discardUnlessRead();
    assertFalse(budget.isSpent());
    assertFalse(pipe.isFull());
  }

  /** A cancelled body left its parts in the queue: their memory was never returned. */
  @Test
  void whatACancelledReaderLeavesIsReleased() {
    Reader r = new Reader();
    pipe.flux().subscribe(r);
    add();
    add();
    r.request(1);
    r.cancel();
    add();
    assertEquals(List.of(1, 0, 0), references());
    assertEquals(0, budget.heldBytes());
  }

  @Test
  void whatNobodyReadsIsReleased() {
    add();
    pipe.discardUnlessRead();
    add();
    assertEquals(List.of(0, 0), references());
    assertEquals(0, budget.heldBytes());
  }

  /** A body whose beginning is gone must not look complete. */
  @Test
  void aDiscardedBodyFailsItsReader() {
    add();
    pipe.complete();
    pipe.discardUnlessRead();
    Reader r = new Reader();
    pipe.flux().subscribe(r);
    assertEquals("failed", r.end);
  }

  @Test
  void aBodyThatIsReadIsNotDiscarded() {
    Reader r = new Reader();
    pipe.flux().subscribe(r);
    add();
    pipe.discardUnlessRead();
    pipe.complete();
    r.request(2);
    assertEquals(List.of(1), references());
    assertEquals("complete", r.end);
  }

  private void add() {
    ByteBuf b = Unpooled.wrappedBuffer(new byte[PART_BYTES]);
    parts.add(b);
    pipe.add(b);
  }

  private List<Integer> references() {
    return parts.stream().map(ByteBuf::refCnt).toList();
  }

  /** Reads only what it is told to and keeps the parts. */
  private static final class Reader extends BaseSubscriber<ByteBuf> {
    private String end = "";

    @Override
    protected void hookOnSubscribe(Subscription s) {
      // Nothing is requested yet.
    }

    @Override
    protected void hookOnComplete() {
      end = "complete";
    }

    @Override
    protected void hookOnError(Throwable t) {
      end = "failed";
    }
  }
}
