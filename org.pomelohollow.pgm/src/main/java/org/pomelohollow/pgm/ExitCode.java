package org.pomelohollow.pgm;

/** How a command ended. */
enum ExitCode {
  /** Done. */
  DONE(0),
  /** Refused or failed. */
  FAILED(1),
  /** Wrong usage. */
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
