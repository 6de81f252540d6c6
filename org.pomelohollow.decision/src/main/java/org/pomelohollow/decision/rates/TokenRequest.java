package org.pomelohollow.decision.rates;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;

/**
 * Asks the home of an account for tokens.
 *
 * @param account the account
 * @param sequence number of the request at the sender
 * @param needed tokens for requests that wait
 * @param wanted tokens that the sender would like, at least {@code needed}
 */
public record TokenRequest(AccountId account, long sequence, double needed, double wanted)
    implements PeerMessage {
  /** Checks the amounts. */
  public TokenRequest {
    if (!(needed >= 0) || !(wanted >= needed)) {
      throw new IllegalArgumentException("needed " + needed + ", wanted " + wanted);
    }
  }
}
