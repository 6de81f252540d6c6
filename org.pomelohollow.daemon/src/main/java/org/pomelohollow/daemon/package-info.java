/** Daemon process: its start, its event loop, its shutdown, its metrics and its request log. */
package org.pomelohollow.daemon;
