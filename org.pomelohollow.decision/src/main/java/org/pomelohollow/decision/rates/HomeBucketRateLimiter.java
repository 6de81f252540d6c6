package org.pomelohollow.decision.rates;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.decision.quota.AccountRateLimiter;
import org.pomelohollow.decision.quota.QuotaResult;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.StableHash;

/**
 * Rate limiter for root requests with one token bucket per client account, kept at one host of the
 * fleet.
 *
 * <p>The bucket of an account is at its home, the live host that rendezvous hashing (Thaler and
 * Ravishankar, 1998) selects. Other daemons request small batches of tokens from it ahead of their
 * demand. The home fills the bucket in proportion to the share of the known hosts that it can
 * reach, so that all sides of a network partition together stay within the rate. While the home
 * does not reply, a daemon grants requests at a fraction of its even share of the rate.
 *
 * <p>A new home starts with an almost empty bucket, which fills from the moment at which it became
 * the home, whether or not the account is in use then. Two daemons can both consider themselves the
 * home only while their rosters differ. The excess that is granted in that time, at most the rate
 * times its duration, has to fit in the tolerance of the bound.
 */
public final class HomeBucketRateLimiter implements AccountRateLimiter {
  /** Longest time that a request waits for a token, in nanoseconds. */
  static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final String PART = "rates";

  /**
   * Fraction of a daemon's even share of the rate that it may grant while the home is unresponsive.
   */
  private static final double FALLBACK_SHARE = 0.3;

  /** Initial content of a new home's bucket, as time at its rate. */
  private static final double INITIAL_TOKENS_SECONDS = 0.1;

  private static final double NANOS_PER_SECOND = 1e9;

  private final MemberId self;
  private final EffectSink effects;
  private final FleetSizeEstimator fleetSize = new FleetSizeEstimator();
  private final Map<AccountId, Optional<MemberId>> homeByAccount = new HashMap<>();
  private final Map<AccountId, TokenBucket> ownBuckets = new HashMap<>();
  private final Map<AccountId, AccountTokens> tokensByAccount = new HashMap<>();
  private Map<AccountId, AccountEntry> accounts = Map.of();
  private Optional<Roster> roster = Optional.empty();

  /** Hosts that can be homes, and the time since when they have been the same. */
  private Set<MemberId> hosts = Set.of();

  private long hostsSinceNanos = Long.MIN_VALUE;
  private long lastSequence;

  /**
   * Creates a rate limiter without accounts.
   *
   * @param self this daemon
   * @param effects receives the messages to send to peers
   */
  public HomeBucketRateLimiter(MemberId self, EffectSink effects) {
    this.self = self;
    this.effects = effects;
  }

  @Override
  public void acquire(AccountId account, long nowNanos, Consumer<QuotaResult> callback) {
    AccountEntry e = accounts.get(account);
    if (e == null) {
      callback.accept(new QuotaResult.Unavailable());
    } else if (!e.hasRateLimit()) {
      callback.accept(new QuotaResult.Granted());
    } else {
      AccountTokens t = tokensByAccount.computeIfAbsent(account, a -> newTokens(e, nowNanos));
      t.acquire(callback, nowNanos);
      requestTokens(account, t, nowNanos);
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.Tick) {
      tokensByAccount.forEach(
          (a, t) -> {
            t.tick(nowNanos);
            requestTokens(a, t, nowNanos);
          });
    } else if (event instanceof Event.ProcessResumed) {
      // Another daemon may have become the home, and tokens may have outlived their time.
      ownBuckets.clear();
      hostsSinceNanos = nowNanos;
      tokensByAccount.values().forEach(AccountTokens::dropHeldTokens);
    } else if (event instanceof Event.MessageReceived m) {
      onMessage(m, nowNanos);
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.MEMBERS) {
      fleetSize.applyLog(r, nowNanos);
      updateRates(nowNanos);
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
      homeByAccount.clear();
      fleetSize.applyRoster(c.roster(), nowNanos);
      updateHosts(c.roster(), nowNanos);
      updateRates(nowNanos);
    } else if (event instanceof Event.ConfigActivated c) {
      accounts = c.configuration().document().accounts();
      homeByAccount.clear();
      tokensByAccount.keySet().retainAll(accounts.keySet());
      ownBuckets.keySet().retainAll(accounts.keySet());
      updateRates(nowNanos);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    StateDump.Builder b =
        StateDump.of(PART)
            .line("known hosts", fleetSize.hostCount())
            .line("reached share", fleetSize.reachedShare());
    ownBuckets.forEach((a, bucket) -> b.line("home of " + a, bucket.tokens()));
    tokensByAccount.forEach((a, t) -> b.line("tokens of " + a, t));
    return b.build();
  }

  private void onMessage(Event.MessageReceived m, long nowNanos) {
    if (m.message() instanceof TokenRequest r) {
      effects.emit(new Effect.Send(m.from(), grantTokens(r, nowNanos)));
    } else if (m.message() instanceof TokenGrant g && tokensByAccount.containsKey(g.account())) {
      AccountTokens t = tokensByAccount.get(g.account());
      t.addGrant(g, nowNanos);
      requestTokens(g.account(), t, nowNanos);
    }
  }

  private TokenGrant grantTokens(TokenRequest r, long nowNanos) {
    AccountEntry e = accounts.get(r.account());
    boolean isHome = home(r.account()).filter(self::equals).isPresent();
    if (e == null || !isHome) {
      return new TokenGrant(r.account(), r.sequence(), 0, 0, false);
    }
    TokenBucket b = ownBuckets.computeIfAbsent(r.account(), a -> newBucket(e, nowNanos));
    double taken = b.take(r.wanted(), nowNanos);
    return new TokenGrant(r.account(), r.sequence(), taken, b.retryAfterMillis(), true);
  }

  private void requestTokens(AccountId account, AccountTokens t, long nowNanos) {
    Optional<MemberId> home = home(account);
    if (home.isEmpty() || !t.shouldRequestTokens(nowNanos)) {
      return;
    }
    TokenRequest r = t.startRequest(account, ++lastSequence, nowNanos);
    if (home.get().equals(self)) {
      t.addGrant(grantTokens(r, nowNanos), nowNanos);
    } else {
      effects.emit(new Effect.Send(home.get(), r));
    }
  }

  private void updateHosts(Roster r, long nowNanos) {
    Set<MemberId> current =
        r.members().stream().filter(m -> !m.leaving()).map(Member::id).collect(Collectors.toSet());
    if (!current.equals(hosts)) {
      hosts = current;
      hostsSinceNanos = nowNanos;
    }
  }

  private Optional<MemberId> home(AccountId a) {
    return homeByAccount.computeIfAbsent(a, this::chooseHome);
  }

  private Optional<MemberId> chooseHome(AccountId a) {
    return roster.flatMap(
        r ->
            r.members().stream()
                .filter(m -> !m.leaving())
                .map(Member::id)
                .min(Comparator.comparingLong(id -> hash(a, id))));
  }

  private static long hash(AccountId a, MemberId id) {
    return StableHash.of(a.value() + "/" + id.host());
  }

  private TokenBucket newBucket(AccountEntry e, long nowNanos) {
    double rate = e.ratePerSecond() * fleetSize.reachedShare();
    double homeSeconds = (nowNanos - hostsSinceNanos) / NANOS_PER_SECOND;
    return new TokenBucket(
        rate, capacity(e), 1 + rate * (INITIAL_TOKENS_SECONDS + homeSeconds), nowNanos);
  }

  /** Returns this side's share of the burst, since each side of a partition has a home. */
  private double capacity(AccountEntry e) {
    return Math.max(1, e.burst() * fleetSize.reachedShare());
  }

  private AccountTokens newTokens(AccountEntry e, long nowNanos) {
    return new AccountTokens(fallbackRate(e), nowNanos);
  }

  private double fallbackRate(AccountEntry e) {
    return FALLBACK_SHARE * e.ratePerSecond() / fleetSize.hostCount();
  }

  private void updateRates(long nowNanos) {
    ownBuckets.keySet().removeIf(a -> home(a).filter(self::equals).isEmpty());
    ownBuckets.forEach(
        (a, b) -> {
          AccountEntry e = accounts.get(a);
          b.resize(e.ratePerSecond() * fleetSize.reachedShare(), capacity(e), nowNanos);
        });
    tokensByAccount.forEach((a, t) -> t.setFallbackRate(fallbackRate(accounts.get(a)), nowNanos));
  }
}
