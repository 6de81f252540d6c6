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
 * Authenticates the client account of a request by its API key. Missing, malformed, unknown and
 * withdrawn keys get the same response. A call of a running request has the account of that
 * request.
 */
public final class ApiKeyFilter implements Filter, Controller {
  /** Maximum number of API keys whose account, or lack of one, is cached; callers use few keys. */
  private static final int MAX_CACHED_KEYS = 4_096;

  private Map<String, AccountId> accountsByDigest = Map.of();
  private final Map<String, Optional<AccountId>> cachedAccounts = new HashMap<>();
  private Map<AccountId, Integer> rankOffsets = Map.of();

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<AccountId> a =
        x.head()
            .parent()
            .map(p -> p.account())
            .orElseGet(() -> x.head().apiKey().flatMap(this::findAccount));
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

  /** Finds the account of an API key. Results are cached, as digests are slow to compute. */
  private Optional<AccountId> findAccount(String key) {
    Optional<AccountId> cached = cachedAccounts.get(key);
    if (cached != null) {
      return cached;
    }
    Optional<AccountId> a = Optional.ofNullable(accountsByDigest.get(ApiKeyDigest.of(key)));
    if (cachedAccounts.size() >= MAX_CACHED_KEYS) {
      cachedAccounts.clear();
    }
    cachedAccounts.put(key, a);
    return a;
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigActivated c) {
      Map<String, AccountId> m = new HashMap<>();
      for (ApiKeyEntry k : c.configuration().document().apiKeys()) {
        m.put(k.digest(), k.account());
      }
      accountsByDigest = m;
      cachedAccounts.clear();
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
    return StateDump.of("keys").line("count", accountsByDigest.size()).build();
  }
}
