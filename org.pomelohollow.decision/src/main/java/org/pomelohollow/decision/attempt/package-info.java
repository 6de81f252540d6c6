/** Attempts of a request at its targets: the first attempt, safe retries and their bounds. */
package org.pomelohollow.decision.attempt;
