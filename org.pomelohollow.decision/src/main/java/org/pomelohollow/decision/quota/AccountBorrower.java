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
import org.pomelohollow.decision.quota.LoanLine.Amounts;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;

/** Serves the requests of one account at one daemon from its own pieces and from loans. */
final class AccountBorrower {
  private static final double WHOLE = 1 - 1e-9;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DEMAND_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long QUIET_NANOS = TimeUnit.MILLISECONDS.toNanos(40);
  private static final double STOCK_SECONDS = 0.3;
  private static final double LOW_STOCK = 0.4;
  private static final double SMALLEST_STOCK = 2;
  private static final double SMALL_BURST = 24;

  private final List<LoanLine> lines;
  private final QuotaTerms terms;
  private final Lender lender;
  private final Function<Piece, Optional<MemberId>> holders;
  private final LongSupplier sequences;
  private final DoubleSupplier burst;
  private final EffectSink effects;
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private double demandPerSecond;
  private long arrivals;
  private long windowNanos;
  private long lastArrivalNanos;

  AccountBorrower(
      AccountId account,
      QuotaTerms terms,
      Lender lender,
      Function<Piece, Optional<MemberId>> holders,
      LongSupplier sequences,
      DoubleSupplier burst,
      EffectSink effects) {
    this.lines = Piece.of(account).stream().map(LoanLine::new).toList();
    this.terms = terms;
    this.lender = lender;
    this.holders = holders;
    this.sequences = sequences;
    this.burst = burst;
    this.effects = effects;
  }

  void acquire(long nowNanos, Consumer<QuotaAnswer> answer) {
    arrivals++;
    lastArrivalNanos = nowNanos;
    waiters.add(new Waiter(answer, nowNanos + terms.answer()));
    serve(nowNanos);
    restock(nowNanos);
  }

  void answered(LoanAnswer a, long nowNanos) {
    LoanLine line = lines.get(a.piece().index());
    if (line.answered(a, nowNanos)) {
      serve(nowNanos);
    }
  }

  /** Gives up the loan of a holder whose link is lost. */
  void linkLost(MemberId peer, long nowNanos) {
    lines.stream()
        .filter(l -> target(l, nowNanos).filter(peer::equals).isPresent())
        .forEach(l -> l.fail(nowNanos));
    serve(nowNanos);
  }

  void tick(long nowNanos) {
    measureDemand(nowNanos);
    for (LoanLine l : lines) {
      if (l.isOverdue(nowNanos, terms.answer() / 2)) {
        l.fail(nowNanos);
      }
    }
    serve(nowNanos);
    while (!waiters.isEmpty() && waiters.peek().deadlineNanos <= nowNanos) {
      waiters.remove().answer.accept(new QuotaAnswer.Unavailable());
    }
    boolean idle = nowNanos - lastArrivalNanos >= IDLE_NANOS;
    for (LoanLine l : lines) {
      if (!l.isPending() && isDue(l, idle, nowNanos)) {
        request(l, new Amounts(0, 0, idle ? 0 : stock()), nowNanos);
      }
    }
  }

  /** Returns all loans and refuses all that wait. */
  void close(long nowNanos) {
    lines.stream()
        .filter(l -> l.usable(nowNanos) > 0)
        .forEach(l -> request(l, new Amounts(0, 0, 0), nowNanos));
    refuseAll(new QuotaAnswer.Unavailable());
  }

  double borrowed(long nowNanos) {
    return lines.stream().mapToDouble(l -> l.usable(nowNanos)).sum();
  }

  double borrowed(Piece p, long nowNanos) {
    return lines.get(p.index()).usable(nowNanos);
  }

  double demandPerSecond() {
    return demandPerSecond;
  }

  private void serve(long nowNanos) {
    while (!waiters.isEmpty() && spendOne(nowNanos)) {
      waiters.remove().answer.accept(new QuotaAnswer.Granted());
    }
    if (waiters.isEmpty() || lines.stream().anyMatch(LoanLine::isPending)) {
      return;
    }
    List<LoanLine> chosen = choose(nowNanos);
    if (chosen.isEmpty()) {
      refuseAll(refusal(nowNanos));
      return;
    }
    double part = Math.max(0, waiters.size() - available(nowNanos)) / chosen.size();
    double stock = lowStock(nowNanos) / chosen.size();
    chosen.forEach(l -> request(l, new Amounts(part, part + stock, Double.MAX_VALUE), nowNanos));
  }

  private void restock(long nowNanos) {
    double missing = lowStock(nowNanos);
    if (missing > 0 && lines.stream().noneMatch(LoanLine::isPending)) {
      best(nowNanos)
          .ifPresent(l -> request(l, new Amounts(0, missing, Double.MAX_VALUE), nowNanos));
    }
  }

  private void request(LoanLine l, Amounts a, long nowNanos) {
    target(l, nowNanos)
        .ifPresent(
            to -> {
              LoanRequest r = l.request(sequences.getAsLong(), a, terms.loan(), nowNanos);
              effects.emit(new Effect.Send(to, r));
            });
  }

  /** Returns what is missing to the stock once it is low; 0 while it is not. */
  private double lowStock(long nowNanos) {
    double have = available(nowNanos);
    boolean low = stock() >= SMALLEST_STOCK && have <= LOW_STOCK * stock();
    return low ? stock() - have : 0;
  }

  /**
   * Chooses whom to ask: the best holder, or all of a small account, whose pieces would otherwise
   * overflow one while another is empty.
   */
  private List<LoanLine> choose(long nowNanos) {
    if (burst.getAsDouble() >= SMALL_BURST) {
      return best(nowNanos).stream().toList();
    }
    return lines.stream()
        .filter(l -> l.isOpen(nowNanos) && target(l, nowNanos).isPresent())
        .toList();
  }

  /** Returns the tokens to keep for the arrivals until the next answers. */
  private double stock() {
    return demandPerSecond * STOCK_SECONDS;
  }

  /** Tells whether to return tokens, to renew their loan, or to report what was spent. */
  private boolean isDue(LoanLine l, boolean idle, long nowNanos) {
    if (l.usable(nowNanos) > 0 && (idle || l.endsNanos() - nowNanos < terms.loan() / 2)) {
      return true;
    }
    boolean quiet = nowNanos - lastArrivalNanos >= QUIET_NANOS;
    return l.unsettled(nowNanos) > 0 && (quiet || nowNanos - l.sentNanos() >= IDLE_NANOS);
  }

  private Optional<LoanLine> best(long nowNanos) {
    return lines.stream()
        .filter(l -> l.isOpen(nowNanos) && target(l, nowNanos).isPresent())
        .max(Comparator.comparingDouble(LoanLine::left));
  }

  /** Returns the holder to ask; empty if unknown or if this daemon draws from the piece itself. */
  private Optional<MemberId> target(LoanLine l, long nowNanos) {
    if (lender.held().containsKey(l.piece())) {
      return Optional.empty();
    }
    return l.hint(nowNanos).or(() -> holders.apply(l.piece()));
  }

  private double available(long nowNanos) {
    double n = borrowed(nowNanos);
    for (LoanLine l : lines) {
      n += lender.available(l.piece(), nowNanos);
    }
    return n;
  }

  private boolean spendOne(long nowNanos) {
    if (available(nowNanos) < WHOLE) {
      return false;
    }
    double missing = 1;
    for (LoanLine l : lines) {
      missing -= l.spend(missing, nowNanos);
    }
    for (LoanLine l : lines) {
      missing -= lender.draw(l.piece(), missing, nowNanos);
    }
    return true;
  }

  private QuotaAnswer refusal(long nowNanos) {
    long retry = Long.MAX_VALUE;
    for (LoanLine l : lines) {
      OptionalLong own = lender.retryAfterMillis(l.piece(), nowNanos);
      if (own.isEmpty() && (l.isDown() || target(l, nowNanos).isEmpty())) {
        return new QuotaAnswer.Unavailable();
      }
      retry = Math.min(retry, own.orElseGet(() -> l.retryAfterMillis(nowNanos)));
    }
    return new QuotaAnswer.Exceeded(Math.max(1, retry));
  }

  private void refuseAll(QuotaAnswer a) {
    while (!waiters.isEmpty()) {
      waiters.remove().answer.accept(a);
    }
  }

  private void measureDemand(long nowNanos) {
    long passed = nowNanos - windowNanos;
    if (passed >= DEMAND_WINDOW_NANOS) {
      demandPerSecond = (demandPerSecond + arrivals * NANOS_PER_SECOND / passed) / 2;
      arrivals = 0;
      windowNanos = nowNanos;
    }
  }

  private record Waiter(Consumer<QuotaAnswer> answer, long deadlineNanos) {}
}
