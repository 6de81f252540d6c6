/** The filter chain that a request passes at its entry daemon. */
package org.pomelohollow.decision.request;
