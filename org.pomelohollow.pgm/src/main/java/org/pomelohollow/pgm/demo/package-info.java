/** The demo: a fleet of real processes on loopback, driven through what must hold. */
package org.pomelohollow.pgm.demo;
