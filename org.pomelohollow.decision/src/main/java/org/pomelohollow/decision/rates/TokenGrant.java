package org.pomelohollow.decision.rates;

import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;

/**
 * Reply to a {@link TokenRequest}.
 *
 * @param account the client account
 * @param sequence sequence number of the request
 * @param tokens number of tokens granted to the receiver
 * @param retryAfterMillis time until the bucket has another token, in milliseconds; 0 if it has one
 * @param fromHome whether the sender considers itself the home of the account
 */
public record TokenGrant(
    AccountId account, long sequence, double tokens, long retryAfterMillis, boolean fromHome)
    implements PeerMessage {}
