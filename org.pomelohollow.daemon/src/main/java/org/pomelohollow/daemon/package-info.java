/** The daemon as a process: its start, its event loop and its stop. */
package org.pomelohollow.daemon;
