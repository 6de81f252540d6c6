package org.pomelohollow.decision.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.pomelohollow.model.AccountId;

/** Hash by which daemons recognise the same request, whatever its idempotency key. */
final class Fingerprint {
  private Fingerprint() {}

  /** Returns the first eight bytes of SHA-256 over account, method, path and content. */
  static long of(Exchange x) {
    MessageDigest d = sha256();
    add(d, x.account().map(AccountId::value).orElse(""));
    add(d, x.head().method());
    add(d, x.head().path());
    d.update(ByteBuffer.allocate(Long.BYTES).putLong(x.head().contentHash()).flip());
    return ByteBuffer.wrap(d.digest()).getLong();
  }

  private static void add(MessageDigest d, String field) {
    d.update(field.getBytes(StandardCharsets.UTF_8));
    d.update((byte) 0);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
