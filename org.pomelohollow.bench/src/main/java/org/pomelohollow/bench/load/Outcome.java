package org.pomelohollow.bench.load;

/**
 * End of one request.
 *
 * @param status HTTP status, 0 if the connection broke
 * @param notRun whether the answer said that the request has not run
 */
public record Outcome(int status, boolean notRun) {
  private static final int OK = 200;

  /** Returns whether the request was served whole. */
  public boolean isServed() {
    return status == OK;
  }
}
