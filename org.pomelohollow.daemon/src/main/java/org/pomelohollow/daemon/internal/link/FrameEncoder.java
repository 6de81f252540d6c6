package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Encodes frames: a length of 4 bytes, then type, stream, number and payload as MessagePack, in
 * this order. A short payload is copied behind its head, so that the frame is one buffer and one
 * write.
 */
final class FrameEncoder extends ChannelOutboundHandlerAdapter {
  /** Size of the length field before each frame, in bytes. */
  static final int LENGTH_BYTES = 4;

  /** Largest payload that is copied, in bytes. */
  private static final int MAX_COPIED_BYTES = 8 * 1024;

  private static final int HEAD_BUFFER_BYTES = 64;

  private final MessageBufferPacker packer =
      new MessagePack.PackerConfig().withBufferSize(HEAD_BUFFER_BYTES).newBufferPacker();

  @Override
  public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise)
      throws IOException {
    if (!(msg instanceof Frame f)) {
      ctx.write(msg, promise);
      return;
    }
    byte[] head = encodeHead(f);
    int payloadLength = f.payload().readableBytes();
    boolean copied = payloadLength <= MAX_COPIED_BYTES;
    ByteBuf out = ctx.alloc().buffer(LENGTH_BYTES + head.length + (copied ? payloadLength : 0));
    out.writeInt(head.length + payloadLength).writeBytes(head);
    if (copied) {
      out.writeBytes(f.payload());
      f.payload().release();
      ctx.write(out, promise);
    } else {
      ctx.write(out, ctx.voidPromise());
      ctx.write(f.payload(), promise);
    }
  }

  private byte[] encodeHead(Frame f) throws IOException {
    packer.clear();
    packer.packInt(f.type().number());
    packer.packLong(f.stream());
    packer.packLong(f.number());
    packer.packBinaryHeader(f.payload().readableBytes());
    return packer.toByteArray();
  }
}
