/** Reading of and appending to the log. */
package org.pomelohollow.daemon.internal.log;
