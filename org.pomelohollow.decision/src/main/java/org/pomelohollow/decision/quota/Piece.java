package org.pomelohollow.decision.quota;

import java.util.List;
import java.util.Objects;
import java.util.stream.IntStream;
import org.pomelohollow.document.AccountEntry;
import org.pomelohollow.model.AccountId;

/**
 * One of the fixed pieces into which the rate and burst of an account are cut.
 *
 * @param account the account
 * @param index number of the piece, from 0
 */
public record Piece(AccountId account, int index) {
  /** Pieces of an account. */
  public static final int COUNT = 3;

  private static final double SMALLEST_CUT_BURST = 4;

  /** Checks the fields. */
  public Piece {
    Objects.requireNonNull(account, "account");
    if (index < 0 || index >= COUNT) {
      throw new IllegalArgumentException("piece " + index);
    }
  }

  static List<Piece> of(AccountId account) {
    return IntStream.range(0, COUNT).mapToObj(i -> new Piece(account, i)).toList();
  }

  /** Returns the part of the account's rate and burst that this piece stands for. */
  double share(AccountEntry entry) {
    if (entry.burst() < SMALLEST_CUT_BURST) {
      return index == 0 ? 1 : 0;
    }
    return 1.0 / COUNT;
  }

  @Override
  public String toString() {
    return account + "/" + index;
  }
}
