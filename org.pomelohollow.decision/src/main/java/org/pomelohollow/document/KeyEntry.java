package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.AccountId;

/**
 * A key of a client account, kept as a digest.
 *
 * @param account account that the key speaks for
 * @param digest SHA-256 of the key in lower-case hexadecimal
 */
public record KeyEntry(AccountId account, String digest) {
  private static final int DIGEST_LENGTH = 64;

  /** Checks the digest. */
  public KeyEntry {
    Objects.requireNonNull(account, "account");
    if (digest == null
        || digest.length() != DIGEST_LENGTH
        || !digest.chars().allMatch(KeyEntry::isHex)) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, "sha256 is not " + DIGEST_LENGTH + " lower-case hex digits");
    }
  }

  private static boolean isHex(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  }
}
