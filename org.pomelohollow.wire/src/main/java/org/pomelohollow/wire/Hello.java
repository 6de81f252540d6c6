package org.pomelohollow.wire;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * First message of the handshake, which both sides of a peer link send.
 *
 * @param version protocol version of the sender
 * @param member identity of the sender
 * @param nonce random bytes generated for this link
 */
public record Hello(int version, MemberId member, Bytes nonce) {
  /** Protocol version that this program implements. */
  public static final int VERSION = 1;

  /** Length of a nonce, in bytes. */
  public static final int NONCE_BYTES = 32;

  /** Creates a message; member and nonce may not be null. */
  public Hello {
    Objects.requireNonNull(member, "member");
    Objects.requireNonNull(nonce, "nonce");
  }
}
