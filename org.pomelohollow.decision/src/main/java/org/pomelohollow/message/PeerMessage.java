package org.pomelohollow.message;

/**
 * A control message between daemons. Implementations are records whose components are numbers,
 * strings, enums, lists, optionals and nested records. Each must be registered with the codec.
 */
public interface PeerMessage {}
