/** Command line: one small class for each subcommand. */
package org.pomelohollow.pgm;
