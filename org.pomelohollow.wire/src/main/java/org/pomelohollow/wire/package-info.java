/** Codec for peer messages and log entries, and the client for the platform log. */
package org.pomelohollow.wire;
