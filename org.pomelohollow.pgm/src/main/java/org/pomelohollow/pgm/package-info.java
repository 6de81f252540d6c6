/** The command line program; each subcommand is a {@link org.pomelohollow.pgm.Command}. */
package org.pomelohollow.pgm;
