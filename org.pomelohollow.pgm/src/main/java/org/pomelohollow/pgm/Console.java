package org.pomelohollow.pgm;

import java.io.PrintStream;
import org.pomelohollow.errors.ErrorCode;

/**
 * Where commands write.
 *
 * @param out results
 * @param err errors, one line each
 */
record Console(PrintStream out, PrintStream err) {
  /**
   * Writes an error.
   *
   * @param code stable code
   * @param message what went wrong
   */
  void error(ErrorCode code, String message) {
    err.println("pomelohollow: " + code.id() + ": " + message);
  }
}
