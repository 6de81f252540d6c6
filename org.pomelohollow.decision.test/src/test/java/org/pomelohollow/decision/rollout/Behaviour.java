package org.pomelohollow.decision.rollout;

import java.util.random.RandomGenerator;

/** How a simulated version responds. */
@FunctionalInterface
interface Behaviour {
  /** A version that responds like the old one. */
  Behaviour GOOD = (r, random) -> Response.GOOD;

  /** Chooses the response to a request. */
  Response respond(Request r, RandomGenerator random);

  /** Fails a share of the responses. */
  static Behaviour failing(double share) {
    return (r, random) -> random.nextDouble() < share ? Response.FAILURE : Response.GOOD;
  }

  /** Makes a share of the responses 8 times slower. */
  static Behaviour slow(double share) {
    return (r, random) -> random.nextDouble() < share ? Response.SLOW : Response.GOOD;
  }

  /** Restricts a behaviour to requests that match; the others are good. */
  default Behaviour onlyIf(java.util.function.Predicate<Request> p) {
    return (r, random) -> p.test(r) ? respond(r, random) : Response.GOOD;
  }

  /**
   * A request at a target.
   *
   * @param route name of the route
   * @param targetAgeMillis time since the target's start, in milliseconds
   * @param running running requests at the target, with this one
   * @param usualRunning mean of that at an old target
   */
  record Request(String route, long targetAgeMillis, int running, double usualRunning) {
    private static final double LOADED = 0.8;

    /** Returns whether the target bears nearly as much as an old target usually does. */
    boolean isLoaded() {
      return running >= LOADED * usualRunning;
    }
  }

  /** Response to a request. */
  enum Response {
    GOOD,
    FAILURE,
    SLOW
  }
}
