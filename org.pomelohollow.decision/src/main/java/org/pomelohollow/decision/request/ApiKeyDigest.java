package org.pomelohollow.decision.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of API keys in the form that the configuration document lists them. */
public final class ApiKeyDigest {
  private ApiKeyDigest() {}

  /**
   * Computes the digest of an API key.
   *
   * @param key the API key, not null
   * @return SHA-256 digest of its UTF-8 form, in lower-case hexadecimal
   */
  public static String of(String key) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every JDK must provide it", e);
    }
  }
}
