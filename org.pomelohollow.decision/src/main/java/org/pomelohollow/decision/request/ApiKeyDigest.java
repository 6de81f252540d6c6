package org.pomelohollow.decision.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests of callers' keys, as they stand in the document. */
public final class ApiKeyDigest {
  private ApiKeyDigest() {}

  /**
   * Computes the digest of a key.
   *
   * @param key a key, not null
   * @return SHA-256 over its UTF-8 form in lower-case hexadecimal
   */
  public static String of(String key) {
    try {
      byte[] d = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(d);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
