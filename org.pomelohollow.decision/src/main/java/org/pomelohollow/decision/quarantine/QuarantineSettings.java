package org.pomelohollow.decision.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * Bounds on suspicion.
 *
 * @param maxCrashes targets that may die of a fingerprint before it is refused everywhere
 * @param suspectNanos how long a broken connection alone makes a suspect, in nanoseconds
 * @param quarantineNanos how long suspicion lasts after a target died, in nanoseconds
 * @param maxWaitNanos longest wait of a suspect for other suspects at its target, in nanoseconds
 * @param maxSuspects most fingerprints that a daemon remembers
 * @param fanOut most peers that are told of a suspect
 * @param suspectOnBrokenConnection whether a broken connection alone makes a suspect; elsewhere
 *     only the death of the target does
 */
public record QuarantineSettings(
    int maxCrashes,
    long suspectNanos,
    long quarantineNanos,
    long maxWaitNanos,
    int maxSuspects,
    int fanOut,
    boolean suspectOnBrokenConnection) {
  /** Settings of a daemon that is told nothing else. */
  public static final QuarantineSettings DEFAULT =
      new QuarantineSettings(
          2,
          TimeUnit.SECONDS.toNanos(30),
          TimeUnit.MINUTES.toNanos(10),
          TimeUnit.SECONDS.toNanos(10),
          4_096,
          32,
          true);

  /** Checks the ranges. */
  public QuarantineSettings {
    if (maxCrashes < 1 || maxSuspects < 1 || fanOut < 1) {
      throw new IllegalArgumentException(
          maxCrashes + " deaths, " + maxSuspects + " suspects, fan-out " + fanOut);
    }
    if (suspectNanos < 1 || quarantineNanos < suspectNanos || maxWaitNanos < 0) {
      throw new IllegalArgumentException(
          "times " + suspectNanos + ", " + quarantineNanos + ", " + maxWaitNanos + " ns");
    }
  }
}
