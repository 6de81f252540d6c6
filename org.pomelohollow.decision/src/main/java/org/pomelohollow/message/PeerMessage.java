package org.pomelohollow.message;

/**
 * A control message between daemons. Implementations are records whose components are numbers,
 * strings, enums, lists, optionals and further records; each is registered with the codec.
 */
public interface PeerMessage {}
