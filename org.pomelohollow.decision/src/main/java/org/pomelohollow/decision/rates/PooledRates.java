package org.pomelohollow.decision.rates;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Effects;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.quota.AccountRates;
import org.pomelohollow.decision.quota.QuotaAnswer;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.StableHash;

/**
 * Grants root requests from one token bucket per client account.
 *
 * <p>The bucket lies at the account's home, the live host that rendezvous hashing (Thaler and
 * Ravishankar, 1998) chooses. Other daemons ask it for small batches ahead of their demand. The
 * home fills its bucket in proportion to the share of the known hosts that it reaches, so that the
 * parts of a divided fleet together stay within the rate. While the home does not answer, a daemon
 * spends a part of its even share.
 *
 * <p>A new home starts with an almost empty bucket. Two daemons can both hold themselves for the
 * home only for as long as their rosters differ; the overshoot of that time, at most the rate times
 * the difference, is what this scheme leaves to the slack of the bound.
 */
public final class PooledRates implements AccountRates {
  /** Longest time that a request waits for a token, in nanoseconds. */
  static final long LONGEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final String PART = "rates";

  /** Part of a daemon's even share that it may spend while the home is silent. */
  private static final double FALLBACK_SHARE = 0.3;

  /** Seconds of the rate that a new home's bucket holds. */
  private static final double FIRST_LEVEL_SECONDS = 0.1;

  private final MemberId self;
  private final Effects effects;
  private final KnownHosts hosts = new KnownHosts();
  private final Map<AccountId, Optional<MemberId>> homes = new HashMap<>();
  private final Map<AccountId, Bucket> homeBuckets = new HashMap<>();
  private final Map<AccountId, AccountTokens> tokens = new HashMap<>();
  private Map<AccountId, AccountEntry> accounts = Map.of();
  private Optional<Roster> roster = Optional.empty();
  private long sequence;

  /**
   * Creates a controller that knows no accounts.
   *
   * @param self this daemon
   * @param effects takes what the controller asks for
   */
  public PooledRates(MemberId self, Effects effects) {
    this.self = self;
    this.effects = effects;
  }

  @Override
  public void acquire(AccountId account, long nowNanos, Consumer<QuotaAnswer> answer) {
    AccountEntry e = accounts.get(account);
    if (e == null) {
      answer.accept(new QuotaAnswer.Unavailable());
    } else if (!e.hasRateLimit()) {
      answer.accept(new QuotaAnswer.Granted());
    } else {
      AccountTokens t = tokens.computeIfAbsent(account, a -> newTokens(e, nowNanos));
      t.acquire(answer, nowNanos);
      ask(account, t, nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tokens.forEach(
          (a, t) -> {
            t.tick(nowNanos);
            ask(a, t, nowNanos);
          });
    } else if (event instanceof Event.MessageReceived m) {
      receive(m, nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.MEMBERS) {
      hosts.read(r, nowNanos);
      resize(nowNanos);
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
      homes.clear();
      hosts.change(c.roster(), nowNanos);
      resize(nowNanos);
    } else if (event instanceof Event.ConfigInForce c) {
      accounts = c.configuration().document().accounts();
      homes.clear();
      tokens.keySet().retainAll(accounts.keySet());
      homeBuckets.keySet().retainAll(accounts.keySet());
      resize(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b =
        StateDump.of(PART)
            .line("known hosts", hosts.count())
            .line("reached share", hosts.reachedShare());
    homeBuckets.forEach((a, k) -> b.line("home of " + a, k.level()));
    tokens.forEach((a, t) -> b.line("tokens of " + a, t));
    return b.build();
  }

  private void receive(Event.MessageReceived m, long nowNanos) {
    if (m.message() instanceof TokenRequest r) {
      effects.emit(new Effect.Send(m.from(), grant(r, nowNanos)));
    } else if (m.message() instanceof TokenGrant g && tokens.containsKey(g.account())) {
      AccountTokens t = tokens.get(g.account());
      t.granted(g, nowNanos);
      ask(g.account(), t, nowNanos);
    }
  }

  private TokenGrant grant(TokenRequest r, long nowNanos) {
    AccountEntry e = accounts.get(r.account());
    boolean isHome = home(r.account()).filter(self::equals).isPresent();
    if (e == null || !isHome) {
      return new TokenGrant(r.account(), r.sequence(), 0, 0, false);
    }
    Bucket b = homeBuckets.computeIfAbsent(r.account(), a -> newBucket(e, nowNanos));
    double n = b.take(r.wanted(), nowNanos);
    return new TokenGrant(r.account(), r.sequence(), n, b.retryAfterMillis(), true);
  }

  private void ask(AccountId account, AccountTokens t, long nowNanos) {
    Optional<MemberId> home = home(account);
    if (home.isEmpty() || !t.wantsTokens(nowNanos)) {
      return;
    }
    TokenRequest r = t.request(account, ++sequence, nowNanos);
    if (home.get().equals(self)) {
      t.granted(grant(r, nowNanos), nowNanos);
    } else {
      effects.emit(new Effect.Send(home.get(), r));
    }
  }

  private Optional<MemberId> home(AccountId a) {
    return homes.computeIfAbsent(a, this::chooseHome);
  }

  private Optional<MemberId> chooseHome(AccountId a) {
    return roster.flatMap(
        r ->
            r.members().stream()
                .filter(m -> !m.leaving())
                .map(Member::id)
                .min(Comparator.comparingLong(id -> score(a, id))));
  }

  private static long score(AccountId a, MemberId id) {
    return StableHash.of(a.value() + "/" + id.host());
  }

  private Bucket newBucket(AccountEntry e, long nowNanos) {
    double rate = e.ratePerSecond() * hosts.reachedShare();
    return new Bucket(rate, e.burst(), 1 + rate * FIRST_LEVEL_SECONDS, nowNanos);
  }

  private AccountTokens newTokens(AccountEntry e, long nowNanos) {
    return new AccountTokens(fallbackRate(e), nowNanos);
  }

  private double fallbackRate(AccountEntry e) {
    return FALLBACK_SHARE * e.ratePerSecond() / hosts.count();
  }

  private void resize(long nowNanos) {
    homeBuckets.keySet().removeIf(a -> home(a).filter(self::equals).isEmpty());
    homeBuckets.forEach(
        (a, b) -> {
          AccountEntry e = accounts.get(a);
          b.resize(e.ratePerSecond() * hosts.reachedShare(), e.burst(), nowNanos);
        });
    tokens.forEach((a, t) -> t.setFallbackRate(fallbackRate(accounts.get(a)), nowNanos));
  }
}
