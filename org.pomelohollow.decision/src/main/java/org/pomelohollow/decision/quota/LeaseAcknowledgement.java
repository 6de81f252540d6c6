package org.pomelohollow.decision.quota;

import org.pomelohollow.message.PeerMessage;

/**
 * Message of a witness that acknowledges a {@link LeaseRenewal} of a holder.
 *
 * @param sequence sequence number of the acknowledged renewal
 */
public record LeaseAcknowledgement(long sequence) implements PeerMessage {}
