package org.pomelohollow.pgm;

/** Thrown when the command line is invalid; the message is shown to the operator. */
final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UsageException(String message) {
    super(message);
  }
}
