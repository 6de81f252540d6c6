package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand. */
interface Command {
  /** Returns the name on the command line. */
  String name();

  /** Returns one line for the list of commands. */
  String summary();

  /**
   * Declares the options.
   *
   * @param parser takes the options
   */
  void declare(OptionParser parser);

  /**
   * Runs the command.
   *
   * @param options parsed options
   * @param console where to write
   * @return how it ended
   * @throws org.pomelohollow.errors.PomelohollowException if it failed; the message is shown
   */
  ExitCode run(OptionSet options, Console console);
}
