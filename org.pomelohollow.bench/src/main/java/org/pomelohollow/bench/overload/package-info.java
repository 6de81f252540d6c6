/** Experiments on overload: the product and two baselines on the same load. */
package org.pomelohollow.bench.overload;
