/** Load generators and what they record. */
package org.pomelohollow.bench.load;
