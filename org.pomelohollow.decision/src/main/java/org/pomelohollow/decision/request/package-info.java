/** The filter chain that processes a request at its entry daemon. */
package org.pomelohollow.decision.request;
