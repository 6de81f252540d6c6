package org.pomelohollow.decision.quota;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/**
 * One of the fixed pieces into which the rate and burst of a client account are split. At most one
 * daemon lends a piece at a time.
 *
 * @param account the client account
 * @param index number of the piece, from 0 to {@link #COUNT} - 1
 */
public record QuotaPiece(AccountId account, int index) {
  /** Number of pieces of every account. */
  public static final int COUNT = 3;

  /** An account with a smaller burst, in tokens, isn't split: piece 0 gets all of it. */
  private static final double MIN_SPLIT_BURST_TOKENS = 4;

  /** Checks the account and the range of the index. */
  public QuotaPiece {
    Objects.requireNonNull(account, "account");
    if (index < 0 || index >= COUNT) {
      throw new IllegalArgumentException(
          "index "
              + index
              + " of account "
              + account
              + " is out of range for "
              + COUNT
              + " pieces");
    }
  }

  /** Returns all pieces of an account, in the order of their indexes. */
  static List<QuotaPiece> allOf(AccountId account) {
    return IntStream.range(0, COUNT).mapToObj(i -> new QuotaPiece(account, i)).toList();
  }

  /** Returns the fraction, 0 to 1, of the account's rate and burst in this piece. */
  double fractionOf(AccountEntry entry) {
    if (entry.burst() < MIN_SPLIT_BURST_TOKENS) {
      return index == 0 ? 1 : 0;
    }
    return 1.0 / COUNT;
  }

  @Override
  public String toString() {
    return account + "/" + index;
  }
}
