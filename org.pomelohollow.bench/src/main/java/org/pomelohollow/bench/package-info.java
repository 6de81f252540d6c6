/**
 * Experiments that run daemons and stand-in targets in one process and measure them. They report
 * figures without a verdict.
 */
package org.pomelohollow.bench;
