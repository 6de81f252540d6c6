package org.pomelohollow.decision.rates;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;

/**
 * Answers a {@link TokenRequest}.
 *
 * @param account the account
 * @param sequence number of the request
 * @param tokens tokens that the receiver may spend
 * @param retryAfterMillis time until the bucket has another token, in milliseconds
 * @param fromHome whether the sender is the home of the account as far as it knows
 */
public record TokenGrant(
    AccountId account, long sequence, double tokens, long retryAfterMillis, boolean fromHome)
    implements PeerMessage {}
