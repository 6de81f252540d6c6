/** The demo: scenarios that check the system's guarantees on a fleet of processes on loopback. */
package org.pomelohollow.pgm.demo;
