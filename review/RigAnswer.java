package rig;

import java.io.IOException;
import java.io.InputStream;

/**
 * What a client gets for a request.
 *
 * @param head head of the answer, null if the connection ended before it
 * @param bytes number of bytes of the body that arrived
 * @param complete whether the answer ended as its framing demands
 */
record RigAnswer(RigMessage head, long bytes, boolean complete) {
  /** Reads an answer. */
  static RigAnswer read(InputStream in) throws IOException {
    return read(in, Long.MAX_VALUE);
  }

  /** Reads an answer at a limited pace. */
  static RigAnswer read(InputStream in, long bytesPerSecond) throws IOException {
    RigMessage m = RigMessage.read(in);
    if (m == null) {
      return new RigAnswer(null, 0, false);
    }
    RigMessage.Body b = m.body(in, true);
    byte[] buffer = new byte[16_384];
    long startNanos = System.nanoTime();
    long got = 0;
    try {
      for (int n = b.read(buffer); n >= 0; n = b.read(buffer)) {
        got += n;
        if (bytesPerSecond < Long.MAX_VALUE) {
          Rig.sleep(got * 1_000 / bytesPerSecond - (System.nanoTime() - startNanos) / 1_000_000);
        }
      }
    } catch (IOException e) {
      return new RigAnswer(m, got, false);
    }
    return new RigAnswer(m, got, b.isComplete());
  }

  boolean isSuccess() {
    return head != null && head.status() == 200;
  }

  @Override
  public String toString() {
    return head == null
        ? "no answer"
        : "%d, signature %s, %d bytes, %s"
            .formatted(
                head.status(),
                head.headers().getOrDefault("response-signature", "none"),
                bytes,
                complete ? "complete" : "cut");
  }
}
