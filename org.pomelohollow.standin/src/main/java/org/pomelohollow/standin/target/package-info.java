/** Stand-in for a target, with simulated service times and fault injection. */
package org.pomelohollow.standin.target;
