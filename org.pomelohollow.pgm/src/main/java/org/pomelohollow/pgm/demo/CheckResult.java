package org.pomelohollow.pgm.demo;

/**
 * Result of one check of the demo, a line of its table.
 *
 * @param expectation the condition that was checked
 * @param observed the values that were observed
 * @param passed whether the condition held
 */
record CheckResult(String expectation, String observed, boolean passed) {}
