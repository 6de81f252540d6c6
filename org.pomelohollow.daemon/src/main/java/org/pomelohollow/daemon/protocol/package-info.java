/** What a daemon speaks towards callers, its target and the platform, behind interfaces. */
package org.pomelohollow.daemon.protocol;
