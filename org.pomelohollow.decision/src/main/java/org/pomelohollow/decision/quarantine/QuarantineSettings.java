package org.pomelohollow.decision.quarantine;

import java.util.concurrent.TimeUnit;

/**
 * Limits and durations of suspicion and quarantine.
 *
 * @param maxCrashes crashes with a fingerprint after which all daemons refuse it
 * @param suspectNanos duration of suspicion after a broken connection alone, in nanoseconds
 * @param quarantineNanos duration of suspicion after a target crashed, in nanoseconds; at least
 *     {@code suspectNanos}
 * @param maxWaitNanos longest wait of a suspect for other suspects at its target, in nanoseconds
 * @param maxSuspects most suspects that a daemon remembers
 * @param fanOut most peers to which a daemon sends one gossip message
 * @param suspectOnBrokenConnection whether a broken connection alone makes a suspect; otherwise
 *     only a crash of the target does
 */
public record QuarantineSettings(
    int maxCrashes,
    long suspectNanos,
    long quarantineNanos,
    long maxWaitNanos,
    int maxSuspects,
    int fanOut,
    boolean suspectOnBrokenConnection) {
  /** Default settings. */
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
          "need max crashes, max suspects and fan-out >= 1, but they are "
              + maxCrashes
              + ", "
              + maxSuspects
              + " and "
              + fanOut);
    }
    if (suspectNanos < 1 || quarantineNanos < suspectNanos || maxWaitNanos < 0) {
      throw new IllegalArgumentException(
          "need 1 <= suspect time <= quarantine time and max wait >= 0, but they are "
              + suspectNanos
              + ", "
              + quarantineNanos
              + " and "
              + maxWaitNanos
              + " ns");
    }
  }
}
