/** Rates of client accounts across all daemons. */
package org.pomelohollow.decision.quota;
