package org.pomelohollow.bench.overload;

/** Kind of proxy between callers and targets. */
public enum Mode {
  /** The daemons of this project. */
  PRODUCT,
  /** Round robin without a limit, with up to three retries after any failure. */
  NO_PROTECTION,
  /** Round robin with a fixed concurrency limit per target, without priorities and retries. */
  STATIC_LIMIT
}
