package org.pomelohollow.decision.quota;

import org.pomelohollow.message.PeerMessage;

/**
 * Acknowledges a renewal.
 *
 * @param sequence number of the renewal
 */
public record LeaseAcknowledgement(long sequence) implements PeerMessage {}
