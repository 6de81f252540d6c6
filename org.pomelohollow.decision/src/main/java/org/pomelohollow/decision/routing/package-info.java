/** Load balancing: choice of a target for each attempt of a request. */
package org.pomelohollow.decision.routing;
