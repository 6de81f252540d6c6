package org.pomelohollow.document;

import java.util.LinkedHashMap;
import java.util.Map;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;

/** Reads the tables {@code [accounts.NAME]}: the client accounts. */
final class AccountsReader {
  private static final int MAX_ACCOUNTS = 10_000;

  private AccountsReader() {}

  static Map<AccountId, AccountEntry> read(TomlSection top) {
    Map<AccountId, AccountEntry> accounts = new LinkedHashMap<>();
    for (TomlSection.NamedSection n : top.sections("accounts", MAX_ACCOUNTS)) {
      TomlSection s = n.section();
      double rate = s.number("rate", 1, AccountEntry.MIN_RATE, AccountEntry.MAX_RATE);
      if (!s.has("rate")) {
        s.report("rate", ErrorCode.TOML_MISSING_KEY, "is missing");
      }
      double burst = s.number("burst", Math.max(1, rate), 1, AccountEntry.MAX_RATE);
      double weight = s.number("weight", 1, AccountEntry.MIN_WEIGHT, AccountEntry.MAX_WEIGHT);
      s.construct("", () -> new AccountEntry(new AccountId(n.name()), rate, burst, weight))
          .ifPresent(a -> accounts.put(a.id(), a));
      s.rejectUnknownKeys();
    }
    return accounts;
  }
}
