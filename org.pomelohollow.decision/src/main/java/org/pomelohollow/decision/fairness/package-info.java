/**
 * Max-min fair shares of scarce capacity between client accounts: demand at the entry daemons, its
 * sum at one member, the level, and the delay after which refused callers return.
 */
package org.pomelohollow.decision.fairness;
