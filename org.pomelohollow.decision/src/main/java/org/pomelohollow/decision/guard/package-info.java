/** The steps that a request passes at the daemon of its target, before and after it runs. */
package org.pomelohollow.decision.guard;
