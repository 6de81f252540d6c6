/** Tests of rate limiting with one token bucket per account at its home. */
package org.pomelohollow.decision.rates;
