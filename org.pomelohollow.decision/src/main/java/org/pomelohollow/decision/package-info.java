/**
 * Decision logic without I/O: controllers receive typed events and emit typed effects; the time is
 * passed as an argument.
 */
package org.pomelohollow.decision;
