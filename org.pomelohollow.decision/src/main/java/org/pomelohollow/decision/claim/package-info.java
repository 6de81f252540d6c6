/**
 * Claims of non-idempotent requests: a request runs only after a majority of the witnesses of its
 * idempotency key has recorded it.
 */
package org.pomelohollow.decision.claim;
