/** Requests that crash the targets running them: suspects, their probation and quarantine. */
package org.pomelohollow.decision.quarantine;
