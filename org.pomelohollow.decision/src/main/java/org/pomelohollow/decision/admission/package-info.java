/** Admission of requests at the daemon of a target. */
package org.pomelohollow.decision.admission;
