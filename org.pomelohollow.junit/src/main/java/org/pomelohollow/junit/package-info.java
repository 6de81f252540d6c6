/** Test helpers: a manual clock, recorded effects and a simulated fleet of daemons. */
package org.pomelohollow.junit;
