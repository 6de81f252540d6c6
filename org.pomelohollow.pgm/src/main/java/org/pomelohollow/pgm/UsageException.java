package org.pomelohollow.pgm;

/** The command line is wrong. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
