/** Codecs for peer messages and log entries, and the client of the platform log. */
package org.pomelohollow.wire;
