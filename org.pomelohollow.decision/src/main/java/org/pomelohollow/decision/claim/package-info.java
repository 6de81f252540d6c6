/**
 * Claims of non-idempotent requests: a request runs only after a majority of the witnesses of its
 * idempotency key has recorded a claim for it.
 *
 * <p>The executor is the daemon whose target is to run the request. The witnesses are the daemons
 * that record its claim, so that a resend through any daemon within the claim window is recognised.
 * The space of keys is divided into shards; the ring assigns the witnesses of each shard and is
 * agreed on through the log.
 */
package org.pomelohollow.decision.claim;
