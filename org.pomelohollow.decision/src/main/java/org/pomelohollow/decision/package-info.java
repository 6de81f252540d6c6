/** Controllers without I/O: typed events in, typed effects out, time passed as an argument. */
package org.pomelohollow.decision;
