package org.pomelohollow.pgm;

import java.io.PrintStream;
import org.pomelohollow.errors.ErrorCode;

/**
 * Output streams of a command.
 *
 * @param out stream for results
 * @param err stream for errors, one line each
 */
record Console(PrintStream out, PrintStream err) {
  /**
   * Prints an error with its code.
   *
   * @param code code of the error
   * @param message description for the operator
   */
  void printError(ErrorCode code, String message) {
    err.println("pomelohollow: " + code.id() + ": " + message);
  }
}
