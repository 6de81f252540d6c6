package org.pomelohollow.message;

/**
 * A record of the platform log. Implementations are records like those of {@link PeerMessage}; each
 * is registered with the codec.
 */
public interface LogEntry {}
