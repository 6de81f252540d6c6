package org.pomelohollow.decision.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Roster;

/** Grants root requests within the rate and burst of their client accounts. */
public final class QuotaController implements Controller {
  private static final String PART = "quota";
  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<AccountId, Bucket> buckets = new HashMap<>();
  private int members = 1;

  /**
   * Asks for one request's worth of an account's rate.
   *
   * @param account the account
   * @param nowNanos current monotonic time, in nanoseconds
   * @param answer called once, at once or later
   */
  public void acquire(AccountId account, long nowNanos, Consumer<QuotaAnswer> answer) {
    Bucket b = buckets.get(account);
    if (b == null) {
      answer.accept(new QuotaAnswer.Unavailable());
      return;
    }
    answer.accept(b.take(members, nowNanos));
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.ConfigInForce c) {
      Map<AccountId, AccountEntry> accounts = c.configuration().document().accounts();
      buckets.keySet().retainAll(accounts.keySet());
      accounts.forEach((id, a) -> buckets.computeIfAbsent(id, k -> new Bucket()).entry = a);
    } else if (event instanceof Event.RosterChanged r) {
      members = countMembers(r.roster());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b = StateDump.of(PART).line("members", members);
    buckets.forEach((id, k) -> b.line(id.value(), k.tokens));
    return b.build();
  }

  private static int countMembers(Roster r) {
    return r.members().size();
  }

  private static final class Bucket {
    private AccountEntry entry;
    private double tokens = -1;
    private long atNanos;

    QuotaAnswer take(int members, long nowNanos) {
      double burst = Math.max(1, entry.burst() / members);
      double rate = entry.ratePerSecond() / members;
      double filled = tokens < 0 ? burst : tokens + rate * (nowNanos - atNanos) / NANOS_PER_SECOND;
      tokens = Math.min(burst, filled);
      atNanos = nowNanos;
      if (tokens < 1) {
        return new QuotaAnswer.Exceeded((long) Math.ceil((1 - tokens) / rate * 1_000));
      }
      tokens -= 1;
      return new QuotaAnswer.Granted();
    }
  }
}
