/**
 * Distributed rate limiting of client accounts: daemons hold pieces of an account's token bucket
 * under leases and lend tokens to each other.
 */
package org.pomelohollow.decision.quota;
