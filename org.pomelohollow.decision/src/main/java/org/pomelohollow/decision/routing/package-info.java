/** Choice of a target for an attempt. */
package org.pomelohollow.decision.routing;
