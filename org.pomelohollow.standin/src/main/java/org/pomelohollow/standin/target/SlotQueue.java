package org.pomelohollow.standin.target;

import java.util.ArrayDeque;
import java.util.Deque;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Hands out a fixed number of slots in the order of arrival. Thread-safe. */
final class SlotQueue {
  private final Deque<MonoSink<Boolean>> waiting = new ArrayDeque<>();
  private int free;

  SlotQueue(int slots) {
    free = slots;
  }

  /** Returns a signal that comes once a slot is held. A cancelled wait holds none. */
  Mono<Boolean> acquire() {
    return Mono.create(this::enter);
  }

  void release() {
    MonoSink<Boolean> next;
    synchronized (this) {
      next = waiting.poll();
      if (next == null) {
        free++;
      }
    }
    if (next != null) {
      next.success(true);
    }
  }

  private void enter(MonoSink<Boolean> sink) {
    sink.onCancel(() -> leave(sink));
    synchronized (this) {
      if (free == 0) {
        waiting.add(sink);
        return;
      }
      free--;
    }
    sink.success(true);
  }

  private synchronized void leave(MonoSink<Boolean> sink) {
    waiting.remove(sink);
  }
}
