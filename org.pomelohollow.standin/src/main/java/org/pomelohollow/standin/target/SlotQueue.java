package org.pomelohollow.standin.target;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Asynchronous semaphore with a FIFO queue of waiting requests. Thread-safe. */
final class SlotQueue {
  private final Deque<MonoSink<Boolean>> waiting = new ArrayDeque<>();
  private int freeSlots;

  SlotQueue(int slots) {
    freeSlots = slots;
  }

  /** Returns a signal that completes once a slot is acquired. A cancelled wait acquires none. */
  Mono<Boolean> acquire() {
    return Mono.create(this::acquireOrEnqueue);
  }

  /** Releases a slot, to the longest waiting request if there is one. */
  void release() {
    MonoSink<Boolean> next;
    synchronized (this) {
      next = waiting.poll();
      if (next == null) {
        freeSlots++;
      }
    }
    if (next != null) {
      next.success(true);
    }
  }

  private void acquireOrEnqueue(MonoSink<Boolean> sink) {
    sink.onCancel(() -> removeWaiting(sink));
    synchronized (this) {
      if (freeSlots == 0) {
        waiting.add(sink);
        return;
      }
      freeSlots--;
    }
    sink.success(true);
  }

  private synchronized void removeWaiting(MonoSink<Boolean> sink) {
    waiting.remove(sink);
  }
}
