package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * One message of the link protocol.
 *
 * @param type type of the frame
 * @param stream identifier of the stream that it belongs to, 0 for the link itself
 * @param number credit or length, in bytes, as the type defines; 0 if it defines none
 * @param payload content, owned by whoever receives this object
 */
record Frame(FrameType type, long stream, long number, ByteBuf payload) {
  static Frame of(FrameType type, long stream, byte[] payload) {
    return new Frame(type, stream, 0, Unpooled.wrappedBuffer(payload));
  }

  static Frame of(FrameType type, long stream, long number) {
    return new Frame(type, stream, number, Unpooled.EMPTY_BUFFER);
  }

  /** Returns the payload as an array and releases it. */
  byte[] takeBytes() {
    byte[] b = new byte[payload.readableBytes()];
    payload.readBytes(b);
    payload.release();
    return b;
  }
}
