/**
 * Experiments with real daemons and stand-in targets in one process. They measure and decide
 * nothing.
 */
package org.pomelohollow.bench;
