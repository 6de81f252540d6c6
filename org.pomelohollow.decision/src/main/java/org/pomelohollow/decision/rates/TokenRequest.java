package org.pomelohollow.decision.rates;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;

/**
 * Request for tokens, sent to the home of a client account.
 *
 * @param account the client account
 * @param sequence sequence number of the request at the sender
 * @param needed number of tokens for the requests that wait at the sender, 0 or more
 * @param wanted number of tokens requested in all, at least {@code needed}
 */
public record TokenRequest(AccountId account, long sequence, double needed, double wanted)
    implements PeerMessage {
  /** Checks the amounts. */
  public TokenRequest {
    if (!(needed >= 0) || !(wanted >= needed)) {
      throw new IllegalArgumentException(
          "invalid token amounts: needed " + needed + ", wanted " + wanted);
    }
  }
}
