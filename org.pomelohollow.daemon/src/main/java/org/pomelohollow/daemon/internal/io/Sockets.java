package org.pomelohollow.daemon.internal.io;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Socket options that all servers and clients of the daemon share. */
public final class Sockets {
  /**
   * Initial and smallest read buffer. Holds a typical response, so that one read suffices; a buffer
   * is released once it has been read.
   */
  private static final int MIN_READ_BYTES = 8 * 1024;

  private static final int MAX_READ_BYTES = 64 * 1024;

  private Sockets() {}

  /**
   * Returns an allocator of read buffers. With Netty's default sizes, the buffer shrinks after a
   * small message, and the next larger message takes several reads.
   *
   * @return allocator for one connection or for all connections of a server
   */
  public static RecvByteBufAllocator readBufferAllocator() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, MIN_READ_BYTES, MAX_READ_BYTES);
  }
}
