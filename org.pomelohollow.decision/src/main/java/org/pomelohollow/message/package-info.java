/** Typed messages between daemons and typed records of the platform log. */
package org.pomelohollow.message;
