package org.pomelohollow.decision.quota;

import org.pomelohollow.message.PeerMessage;

/**
 * Message of a holder that asks a witness to renew the lease on all pieces that the holder has with
 * this witness.
 *
 * @param sequence sequence number of the renewal, increasing with every renewal of the sender
 */
public record LeaseRenewal(long sequence) implements PeerMessage {}
