package org.pomelohollow.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;

/** Reads the tables {@code [[keys]]}. */
final class KeysReader {
  private static final int MAX_KEYS = 20_000;

  /** Stands in for an owner that is missing, so that the digest is checked all the same. */
  private static final AccountId UNKNOWN = new AccountId("unknown");

  private KeysReader() {}

  static List<KeyEntry> read(TomlSection top) {
    List<KeyEntry> keys = new ArrayList<>();
    Set<String> digests = new HashSet<>();
    for (TomlSection s : top.tables("keys", MAX_KEYS)) {
      Optional<AccountId> account = s.convert("account", AccountId::new);
      AccountId owner = account.orElse(UNKNOWN);
      Optional<KeyEntry> key = s.convert("sha256", d -> new KeyEntry(owner, d));
      s.name("label");
      s.rejectUnknownKeys();
      account
          .filter(a -> !top.defines("accounts", a.value()))
          .ifPresent(
              a -> s.report("account", ErrorCode.DOCUMENT_DANGLING_NAME, "names no account"));
      key.filter(k -> !digests.add(k.digest()))
          .ifPresent(k -> s.report("sha256", ErrorCode.DOCUMENT_DUPLICATE, "stands twice"));
      key.ifPresent(keys::add);
    }
    return keys;
  }
}
