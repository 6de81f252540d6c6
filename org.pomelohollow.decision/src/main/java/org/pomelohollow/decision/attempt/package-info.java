/** Attempts of a request: first tries, safe repeats and their bounds. */
package org.pomelohollow.decision.attempt;
