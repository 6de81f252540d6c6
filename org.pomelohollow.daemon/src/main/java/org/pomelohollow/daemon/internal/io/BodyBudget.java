package org.pomelohollow.daemon.internal.io;

/**
 * Bytes of request bodies that a daemon holds for all connections. Once they are spent, each
 * connection holds no more than one read, and no further streamed body is accepted. Not
 * thread-safe: one event loop uses it.
 */
public final class BodyBudget {
  private static final int SHARE_OF_MEMORY = 4;

  private final long limitBytes;
  private long heldBytes;

  /**
   * Creates a budget.
   *
   * @param limitBytes held bytes from which on the budget is spent
   */
  public BodyBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Creates the budget of a daemon: a quarter of the memory for buffers, which the runtime limits
   * to the size of the heap. Responses, links and pooling take the rest.
   *
   * @return the budget
   */
  public static BodyBudget ofProcess() {
    return new BodyBudget(Runtime.getRuntime().maxMemory() / SHARE_OF_MEMORY);
  }

  /** Returns whether no further body is to be accepted. */
  public boolean isSpent() {
    return heldBytes >= limitBytes;
  }

  /** Returns the bytes that are held, in bytes. */
  public long heldBytes() {
    return heldBytes;
  }

  void add(long bytes) {
    heldBytes += bytes;
  }
}
