package org.pomelohollow.decision.quota;

import org.pomelohollow.message.PeerMessage;

/**
 * Asks a witness to acknowledge that the sender goes on holding its pieces.
 *
 * @param sequence rises with every renewal of the sender
 */
public record LeaseRenewal(long sequence) implements PeerMessage {}
