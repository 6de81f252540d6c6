/** Load generators and the recorders of their results. */
package org.pomelohollow.bench.load;
