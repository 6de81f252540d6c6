package org.pomelohollow.bench.overload;

/** What stands between callers and targets. */
public enum Mode {
  /** Daemons of this project. */
  PRODUCT,
  /** Round robin with three blind retries, and no limit. */
  NO_PROTECTION,
  /** Round robin with a fixed limit for each target, no priorities and no retries. */
  STATIC_LIMIT
}
