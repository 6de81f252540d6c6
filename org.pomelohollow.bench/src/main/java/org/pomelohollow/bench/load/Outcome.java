package org.pomelohollow.bench.load;

/**
 * Outcome of one request.
 *
 * @param status HTTP status, 0 if the connection broke
 * @param notRun whether the response has the verdict that the request did not run
 */
public record Outcome(int status, boolean notRun) {
  private static final int OK = 200;

  /** Returns whether the request was served, with status 200. */
  public boolean isServed() {
    return status == OK;
  }
}
