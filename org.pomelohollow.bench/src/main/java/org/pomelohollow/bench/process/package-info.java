/** Experiments with daemons as separate processes, from their start on. */
package org.pomelohollow.bench.process;
