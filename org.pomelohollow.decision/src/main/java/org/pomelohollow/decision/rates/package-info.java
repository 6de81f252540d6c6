/**
 * Rate limiting of client accounts with one token bucket per account, kept at one member from which
 * all others request tokens.
 *
 * <p>Less strict than {@link org.pomelohollow.decision.quota} and without writes to the log, for
 * platforms whose log retains entries for only a few seconds and whose bound on rates has some
 * tolerance.
 */
package org.pomelohollow.decision.rates;
