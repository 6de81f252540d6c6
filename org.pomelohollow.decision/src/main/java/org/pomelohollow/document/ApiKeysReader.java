package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;

/** Reads the array of tables {@code [[keys]]}: the API keys. */
final class ApiKeysReader {
  private static final int MAX_KEYS = 20_000;

  /** Replaces a missing or invalid account name, so that the digest is validated nevertheless. */
  private static final AccountId PLACEHOLDER_ACCOUNT = new AccountId("unknown");

  private ApiKeysReader() {}

  static List<ApiKeyEntry> read(TomlSection top) {
    List<ApiKeyEntry> keys = new ArrayList<>();
    Set<String> digests = new HashSet<>();
    for (TomlSection s : top.tables("keys", MAX_KEYS)) {
      Optional<AccountId> account = s.requiredValue("account", AccountId::new);
      AccountId accountOrPlaceholder = account.orElse(PLACEHOLDER_ACCOUNT);
      Optional<ApiKeyEntry> key =
          s.requiredValue("sha256", d -> new ApiKeyEntry(accountOrPlaceholder, d));
      s.optionalName("label");
      s.rejectUnknownKeys();
      account
          .filter(a -> !top.hasEntry("accounts", a.value()))
          .ifPresent(
              a ->
                  s.report(
                      "account",
                      ErrorCode.DOCUMENT_DANGLING_NAME,
                      "account \"" + a.value() + "\" is not defined"));
      key.filter(k -> !digests.add(k.digest()))
          .ifPresent(
              k ->
                  s.report(
                      "sha256", ErrorCode.DOCUMENT_DUPLICATE, "is the digest of another key too"));
      key.ifPresent(keys::add);
    }
    return keys;
  }
}
