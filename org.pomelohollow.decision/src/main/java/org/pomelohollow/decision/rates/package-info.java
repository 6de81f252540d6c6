/**
 * Rates of client accounts from one token bucket per account, at a member that all others ask.
 *
 * <p>Less strict than {@link org.pomelohollow.decision.quota}, and without any use of the log: for
 * platforms whose log forgets within seconds and whose bound on rates leaves some slack.
 */
package org.pomelohollow.decision.rates;
