package org.pomelohollow.daemon.internal.io;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Options of sockets. */
public final class Sockets {
  /** Holds a usual answer, so that it takes one read; a buffer goes back when it was read. */
  private static final int LEAST_READ_BYTES = 8 * 1024;

  private static final int GREATEST_READ_BYTES = 64 * 1024;

  private Sockets() {}

  /**
   * Returns the sizes of reads. Netty's own adapt to the last small message and then take several
   * reads for the next greater one.
   *
   * @return an allocator for one connection or for all connections of a server
   */
  public static RecvByteBufAllocator reads() {
    return new AdaptiveRecvByteBufAllocator(
        LEAST_READ_BYTES, LEAST_READ_BYTES, GREATEST_READ_BYTES);
  }
}
