/** Configuration: the fold of the log, spreading among daemons, and what is in force. */
package org.pomelohollow.decision.config;
