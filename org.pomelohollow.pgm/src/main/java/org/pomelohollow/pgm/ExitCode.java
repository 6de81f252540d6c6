package org.pomelohollow.pgm;

/** Outcome of a command, with the exit status of the process. */
enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The command failed or its change was rejected. */
  FAILED(1),
  /** The command line was invalid. */
  USAGE(2);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** Returns the exit status of the process. */
  int status() {
    return status;
  }
}
