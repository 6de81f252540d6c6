package org.pomelohollow.decision.quota;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.quota.PieceLoan.Amounts;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;

/**
 * Grants the requests of one client account at this daemon, from loans of other daemons and from
 * the pieces that this daemon holds itself. Requests wait in order of arrival while a loan is
 * requested.
 */
final class AccountBorrower {
  /** One token, less the rounding error of sums of fractions. */
  private static final double ONE_TOKEN = 1 - 1e-9;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Shortest window over which the arrival rate is measured. */
  private static final long DEMAND_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /**
   * Time without arrivals after which borrowed tokens are returned; also the longest time that
   * spent tokens go unreported.
   */
  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time without arrivals after which spent tokens are reported to the lender. */
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Reserve of tokens, as the time in seconds for which it meets the demand. */
  private static final double RESERVE_SECONDS = 0.3;

  /** Fraction of the reserve at or below which it is replenished. */
  private static final double LOW_RESERVE_FRACTION = 0.4;

  /** Smallest reserve, in tokens; at a demand too low for it, none is kept. */
  private static final double MIN_RESERVE_TOKENS = 2;

  /** Burst, in tokens, below which loans are requested from all pieces at once. */
  private static final double SMALL_BURST_TOKENS = 24;

  private final List<PieceLoan> loans;
  private final QuotaSettings settings;
  private final Lender lender;
  private final Function<QuotaPiece, Optional<MemberId>> remoteHolders;
  private final LongSupplier nextSequence;
  private final DoubleSupplier burstTokens;
  private final EffectSink effects;
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private double demandPerSecond;
  private long arrivals;
  private long windowStartNanos;
  private long lastArrivalNanos;

  /**
   * Creates a borrower without loans.
   *
   * @param account the client account
   * @param settings timeouts and durations of the quota protocol
   * @param lender lender of the pieces that this daemon holds
   * @param remoteHolders finds the other member to request a loan of a piece from
   * @param nextSequence generates increasing sequence numbers of loan requests
   * @param burstTokens returns the burst of the account in the active configuration, in tokens
   * @param effects receives the loan requests to send
   */
  AccountBorrower(
      AccountId account,
      QuotaSettings settings,
      Lender lender,
      Function<QuotaPiece, Optional<MemberId>> remoteHolders,
      LongSupplier nextSequence,
      DoubleSupplier burstTokens,
      EffectSink effects) {
    this.loans = QuotaPiece.allOf(account).stream().map(PieceLoan::new).toList();
    this.settings = settings;
    this.lender = lender;
    this.remoteHolders = remoteHolders;
    this.nextSequence = nextSequence;
    this.burstTokens = burstTokens;
    this.effects = effects;
  }

  /** Queues a request for one token, then grants what the available tokens allow. */
  void acquire(long nowNanos, Consumer<QuotaResult> callback) {
    arrivals++;
    lastArrivalNanos = nowNanos;
    waiters.add(new Waiter(callback, nowNanos + settings.acquireTimeoutNanos()));
    grantWaiting(nowNanos);
    replenishReserve(nowNanos);
  }

  /** Handles a lender's reply to a loan request. */
  void handleReply(LoanAnswer a, long nowNanos) {
    PieceLoan loan = loans.get(a.piece().index());
    if (loan.handleReply(a, nowNanos)) {
      grantWaiting(nowNanos);
    }
  }

  /** Stops waiting for the replies of a peer whose link is lost. */
  void handleLinkLost(MemberId peer, long nowNanos) {
    loans.stream()
        .filter(l -> remoteHolder(l, nowNanos).filter(peer::equals).isPresent())
        .forEach(l -> l.giveUpRequest(nowNanos));
    grantWaiting(nowNanos);
  }

  /**
   * Refuses requests that have waited too long, gives up loan requests without a reply after half
   * of that wait so that another can still succeed, and settles or renews loans that are due.
   */
  void tick(long nowNanos) {
    measureDemand(nowNanos);
    for (PieceLoan l : loans) {
      if (l.isOverdue(nowNanos, settings.acquireTimeoutNanos() / 2)) {
        l.giveUpRequest(nowNanos);
      }
    }
    grantWaiting(nowNanos);
    while (!waiters.isEmpty() && waiters.peek().deadlineNanos <= nowNanos) {
      waiters.remove().callback.accept(new QuotaResult.Unavailable());
    }
    boolean idle = nowNanos - lastArrivalNanos >= IDLE_NANOS;
    for (PieceLoan l : loans) {
      if (!l.isPending() && isUpdateDue(l, idle, nowNanos)) {
        sendRequest(l, new Amounts(0, 0, idle ? 0 : reserveTokens()), nowNanos);
      }
    }
  }

  /** Returns all borrowed tokens to the lenders and refuses all waiting requests. */
  void close(long nowNanos) {
    loans.stream()
        .filter(l -> l.usableTokens(nowNanos) > 0)
        .forEach(l -> sendRequest(l, new Amounts(0, 0, 0), nowNanos));
    refuseAll(new QuotaResult.Unavailable());
  }

  /** Returns the borrowed tokens that may be spent now, of all pieces. */
  double borrowedTokens(long nowNanos) {
    return loans.stream().mapToDouble(l -> l.usableTokens(nowNanos)).sum();
  }

  /** Returns the borrowed tokens of one piece that may be spent now. */
  double borrowedTokens(QuotaPiece p, long nowNanos) {
    return loans.get(p.index()).usableTokens(nowNanos);
  }

  /** Returns the smoothed arrival rate, in requests per second. */
  double demandPerSecond() {
    return demandPerSecond;
  }

  /**
   * Grants waiting requests while there are tokens. For the rest it requests loans, unless one is
   * pending already, or refuses them if no lender can be asked now.
   */
  private void grantWaiting(long nowNanos) {
    while (!waiters.isEmpty() && trySpendToken(nowNanos)) {
      waiters.remove().callback.accept(new QuotaResult.Granted());
    }
    if (waiters.isEmpty() || loans.stream().anyMatch(PieceLoan::isPending)) {
      return;
    }
    List<PieceLoan> chosen = loansToRequest(nowNanos);
    if (chosen.isEmpty()) {
      refuseAll(refusal(nowNanos));
      return;
    }
    double share = Math.max(0, waiters.size() - availableTokens(nowNanos)) / chosen.size();
    double reserveShare = reserveDeficit(nowNanos) / chosen.size();
    chosen.forEach(
        l -> sendRequest(l, new Amounts(share, share + reserveShare, Double.MAX_VALUE), nowNanos));
  }

  /** Requests a loan if the reserve is low and no other request is pending. */
  private void replenishReserve(long nowNanos) {
    double missing = reserveDeficit(nowNanos);
    if (missing > 0 && loans.stream().noneMatch(PieceLoan::isPending)) {
      richestLoan(nowNanos)
          .ifPresent(l -> sendRequest(l, new Amounts(0, missing, Double.MAX_VALUE), nowNanos));
    }
  }

  /** Sends a loan request to the holder of a piece, if another member holds it. */
  private void sendRequest(PieceLoan l, Amounts a, long nowNanos) {
    remoteHolder(l, nowNanos)
        .ifPresent(
            to -> {
              LoanRequest r =
                  l.newRequest(nextSequence.getAsLong(), a, settings.loanNanos(), nowNanos);
              effects.emit(new Effect.Send(to, r));
            });
  }

  /** Returns the tokens to borrow to fill the reserve up; 0 unless the reserve is low. */
  private double reserveDeficit(long nowNanos) {
    double available = availableTokens(nowNanos);
    boolean low =
        reserveTokens() >= MIN_RESERVE_TOKENS
            && available <= LOW_RESERVE_FRACTION * reserveTokens();
    return low ? reserveTokens() - available : 0;
  }

  /**
   * Returns the pieces to request loans of: the one with the most tokens, or all of them if the
   * burst is small, since otherwise one piece would overflow while another is empty.
   */
  private List<PieceLoan> loansToRequest(long nowNanos) {
    if (burstTokens.getAsDouble() >= SMALL_BURST_TOKENS) {
      return richestLoan(nowNanos).stream().toList();
    }
    return loans.stream()
        .filter(l -> l.canRequest(nowNanos) && remoteHolder(l, nowNanos).isPresent())
        .toList();
  }

  /** Returns the size of the reserve: tokens for the arrivals until the next replies. */
  private double reserveTokens() {
    return demandPerSecond * RESERVE_SECONDS;
  }

  /**
   * Returns whether to send a request now that returns tokens, renews their loan before it expires,
   * or reports spent tokens so that the lender need not count them as lent any longer.
   */
  private boolean isUpdateDue(PieceLoan l, boolean idle, long nowNanos) {
    if (l.usableTokens(nowNanos) > 0
        && (idle || l.expiryNanos() - nowNanos < settings.loanNanos() / 2)) {
      return true;
    }
    boolean quiet = nowNanos - lastArrivalNanos >= QUIET_NANOS;
    return l.unreportedTokens(nowNanos) > 0 && (quiet || nowNanos - l.sentNanos() >= IDLE_NANOS);
  }

  /** Returns the loan whose lender had most tokens left, among those that can be requested now. */
  private Optional<PieceLoan> richestLoan(long nowNanos) {
    return loans.stream()
        .filter(l -> l.canRequest(nowNanos) && remoteHolder(l, nowNanos).isPresent())
        .max(Comparator.comparingDouble(PieceLoan::lenderTokens));
  }

  /**
   * Returns the member to request a loan from; empty if it is unknown or if this daemon holds the
   * piece itself.
   */
  private Optional<MemberId> remoteHolder(PieceLoan l, long nowNanos) {
    if (lender.heldPieces().containsKey(l.piece())) {
      return Optional.empty();
    }
    return l.hintedHolder(nowNanos).or(() -> remoteHolders.apply(l.piece()));
  }

  /** Returns the tokens that may be spent now: borrowed ones and those of held pieces. */
  private double availableTokens(long nowNanos) {
    double n = borrowedTokens(nowNanos);
    for (PieceLoan l : loans) {
      n += lender.availableTokens(l.piece(), nowNanos);
    }
    return n;
  }

  /**
   * Spends one token, if there is one: borrowed tokens first, then those of held pieces.
   *
   * @return whether a token was spent
   */
  private boolean trySpendToken(long nowNanos) {
    if (availableTokens(nowNanos) < ONE_TOKEN) {
      return false;
    }
    double missing = 1;
    for (PieceLoan l : loans) {
      missing -= l.spend(missing, nowNanos);
    }
    for (PieceLoan l : loans) {
      missing -= lender.drawTokens(l.piece(), missing, nowNanos);
    }
    return true;
  }

  /**
   * Returns the refusal of requests for which no loan can be requested: unavailable if a piece has
   * no lender that replies, otherwise exceeded, with the time until the first piece has a token.
   */
  private QuotaResult refusal(long nowNanos) {
    long retryMillis = Long.MAX_VALUE;
    for (PieceLoan l : loans) {
      OptionalLong ownMillis = lender.retryAfterMillis(l.piece(), nowNanos);
      if (ownMillis.isEmpty() && (l.isLenderUnavailable() || remoteHolder(l, nowNanos).isEmpty())) {
        return new QuotaResult.Unavailable();
      }
      retryMillis = Math.min(retryMillis, ownMillis.orElseGet(() -> l.retryAfterMillis(nowNanos)));
    }
    return new QuotaResult.Exceeded(Math.max(1, retryMillis));
  }

  private void refuseAll(QuotaResult refusal) {
    while (!waiters.isEmpty()) {
      waiters.remove().callback.accept(refusal);
    }
  }

  /** Sets the demand to the mean of the last window's arrival rate and the previous demand. */
  private void measureDemand(long nowNanos) {
    long elapsedNanos = nowNanos - windowStartNanos;
    if (elapsedNanos >= DEMAND_WINDOW_NANOS) {
      demandPerSecond = (demandPerSecond + arrivals * NANOS_PER_SECOND / elapsedNanos) / 2;
      arrivals = 0;
      windowStartNanos = nowNanos;
    }
  }

  /**
   * A request that waits for a token.
   *
   * @param callback receives the decision
   * @param deadlineNanos monotonic time at which the request is refused, in nanoseconds
   */
  private record Waiter(Consumer<QuotaResult> callback, long deadlineNanos) {}
}
