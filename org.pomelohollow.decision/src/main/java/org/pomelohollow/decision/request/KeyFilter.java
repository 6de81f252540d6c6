package org.pomelohollow.decision.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.ApiKeyEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.AccountId;

/**
 * Finds the account that a caller's key speaks for. Missing, malformed, unknown and withdrawn keys
 * get the same answer. An outbound call of a target has the account of the request it belongs to.
 */
public final class KeyFilter implements Filter, Controller {
  /** Keys whose account, or lack of one, is kept; callers repeat a few keys. */
  private static final int MAX_KEPT_KEYS = 4_096;

  private Map<String, AccountId> accounts = Map.of();
  private final Map<String, Optional<AccountId>> byKey = new HashMap<>();
  private Map<AccountId, Integer> rankOffsets = Map.of();

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<AccountId> a =
        x.head()
            .parent()
            .map(p -> p.account())
            .orElseGet(() -> x.head().key().flatMap(this::account));
    if (a.isEmpty() && !x.route().open()) {
      x.refuse(ErrorCode.KEY_REJECTED);
      return;
    }
    if (!x.route().open() || x.head().parent().isPresent()) {
      a.ifPresent(x::setAccount);
      a.map(rankOffsets::get).ifPresent(x::setRankOffset);
    }
    next.proceed(x, nowNanos);
  }

  /** Finds the account of a key. What a key led to is kept, as digests are slow to compute. */
  private Optional<AccountId> account(String key) {
    Optional<AccountId> known = byKey.get(key);
    if (known != null) {
      return known;
    }
    Optional<AccountId> a = Optional.ofNullable(accounts.get(KeyDigest.of(key)));
    if (byKey.size() >= MAX_KEPT_KEYS) {
      byKey.clear();
    }
    byKey.put(key, a);
    return a;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigInForce c) {
      Map<String, AccountId> m = new HashMap<>();
      for (ApiKeyEntry k : c.configuration().document().apiKeys()) {
        m.put(k.digest(), k.account());
      }
      accounts = m;
      byKey.clear();
      rankOffsets = rankOffsetsOf(c.configuration().document());
    }
  }

  private static Map<AccountId, Integer> rankOffsetsOf(Document d) {
    Map<AccountId, Integer> m = new HashMap<>();
    d.accounts().forEach((id, e) -> m.put(id, e.priorityOffset()));
    return m;
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of("keys").line("count", accounts.size()).build();
  }
}
