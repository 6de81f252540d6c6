package org.pomelohollow.document;

import java.util.Objects;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.AccountId;

/**
 * API key of a client account. Holds only the digest, never the key itself.
 *
 * @param account account that requests with this key are charged to
 * @param digest SHA-256 of the key in lower-case hexadecimal
 */
public record ApiKeyEntry(AccountId account, String digest) {
  private static final int DIGEST_LENGTH = 64;

  /** Creates an entry after checking the form of its digest. */
  public ApiKeyEntry {
    Objects.requireNonNull(account, "account");
    if (digest == null
        || digest.length() != DIGEST_LENGTH
        || !digest.chars().allMatch(ApiKeyEntry::isHex)) {
      throw new PomelohollowException(
          ErrorCode.TOML_OUT_OF_RANGE, "sha256 is not " + DIGEST_LENGTH + " lower-case hex digits");
    }
  }

  private static boolean isHex(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  }
}
