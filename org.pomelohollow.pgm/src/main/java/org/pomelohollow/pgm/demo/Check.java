package org.pomelohollow.pgm.demo;

/**
 * One line of the demo's table.
 *
 * @param what what must hold
 * @param observed what was seen
 * @param holds whether it held
 */
record Check(String what, String observed, boolean holds) {}
