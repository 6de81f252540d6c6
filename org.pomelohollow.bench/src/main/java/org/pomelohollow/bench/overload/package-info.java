/** Overload experiments, which apply the same load to the daemons and to two baselines. */
package org.pomelohollow.bench.overload;
