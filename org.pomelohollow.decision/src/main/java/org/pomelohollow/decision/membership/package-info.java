/**
 * Membership: failure detection by heartbeats between neighbours, gossip of roster updates, and the
 * joins and leaves in the log.
 */
package org.pomelohollow.decision.membership;
