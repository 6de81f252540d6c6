/** Processing of a request at the daemon of its target, before and after the request runs. */
package org.pomelohollow.decision.guard;
