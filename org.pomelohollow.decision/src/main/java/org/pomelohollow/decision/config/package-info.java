/**
 * Configuration of the daemons: the fold that replays the log of changes, the transfer of newer
 * versions between peers, and the choice of the active version.
 */
package org.pomelohollow.decision.config;
