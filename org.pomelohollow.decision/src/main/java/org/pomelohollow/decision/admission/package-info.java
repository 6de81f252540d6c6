/** Admission control and load shedding at the daemon of a target. */
package org.pomelohollow.decision.admission;
