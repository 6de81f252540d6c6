package org.pomelohollow.pgm;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the program. */
interface Command {
  /** Returns the name on the command line, of one or more words separated by spaces. */
  String name();

  /** Returns a one-line description for the list of commands. */
  String summary();

  /**
   * Declares the options and arguments that the command accepts.
   *
   * @param parser parser to which they are added
   */
  void declareOptions(OptionParser parser);

  /**
   * Runs the command.
   *
   * @param options parsed options
   * @param console output of the command
   * @return the exit code
   * @throws org.pomelohollow.errors.PomelohollowException if the command failed; its code and
   *     message are printed
   */
  ExitCode run(OptionSet options, Console console);
}
