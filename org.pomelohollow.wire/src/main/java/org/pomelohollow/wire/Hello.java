package org.pomelohollow.wire;

import java.util.Objects;
import org.pomelohollow.model.MemberId;

/**
 * First message of each side of a link.
 *
 * @param version version of the protocol
 * @param member the sender
 * @param nonce random bytes made for this link
 */
public record Hello(int version, MemberId member, Bytes nonce) {
  /** Version that this program speaks. */
  public static final int VERSION = 1;

  /** Length of a nonce, in bytes. */
  public static final int NONCE_BYTES = 32;

  /** Checks the fields. */
  public Hello {
    Objects.requireNonNull(member, "member");
    Objects.requireNonNull(nonce, "nonce");
  }
}
