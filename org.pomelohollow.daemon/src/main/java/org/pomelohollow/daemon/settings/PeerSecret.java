package org.pomelohollow.daemon.settings;

import java.nio.charset.StandardCharsets;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Shared secret by which daemons authenticate each other. It is never logged or dumped. */
public final class PeerSecret {
  /** Minimum length, in characters. */
  public static final int MIN_LENGTH = 16;

  private final byte[] bytes;

  private PeerSecret(byte[] bytes) {
    this.bytes = bytes;
  }

  /**
   * Creates a secret.
   *
   * @param text the secret; leading and trailing white space is removed
   * @return the secret
   * @throws PomelohollowException with {@link ErrorCode#TOML_OUT_OF_RANGE} if the secret is too
   *     short
   */
  public static PeerSecret of(String text) {
    String s = text.strip();
    if (s.length() < MIN_LENGTH) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE,
          "the peer secret has fewer than " + MIN_LENGTH + " characters");
    }
    return new PeerSecret(s.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a copy of the secret's bytes. */
  public byte[] bytes() {
    return bytes.clone();
  }

  @Override
  public String toString() {
    return "(secret)";
  }
}
