package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Encodes and decodes frames as MessagePack: type, stream, number and payload, in this order. */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {
  /** Largest encoded frame, in bytes. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  private static final MessagePack.PackerConfig HEAD_PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(64);

  /** Size of the length field before each frame, in bytes. */
  static final int LENGTH_BYTES = 4;

  /** Upper bound on the encoded type, stream, number and payload length together, in bytes. */
  private static final int MAX_HEAD_BYTES = 32;

  @Override
  protected void encode(ChannelHandlerContext ctx, Frame f, List<Object> out) throws IOException {
    try (MessageBufferPacker p = HEAD_PACKER_CONFIG.newBufferPacker()) {
      p.packInt(f.type().number());
      p.packLong(f.stream());
      p.packLong(f.number());
      p.packBinaryHeader(f.payload().readableBytes());
      byte[] head = p.toByteArray();
      out.add(Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(head), f.payload()));
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    byte[] head = new byte[Math.min(MAX_HEAD_BYTES, in.readableBytes())];
    in.getBytes(in.readerIndex(), head);
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(head)) {
      FrameType type = FrameType.of(u.unpackInt()).orElseThrow(() -> malformed(null));
      long stream = u.unpackLong();
      long number = u.unpackLong();
      int length = u.unpackBinaryHeader();
      int start = in.readerIndex() + (int) u.getTotalReadBytes();
      if (stream < 0 || number < 0 || start + length != in.writerIndex()) {
        throw malformed(null);
      }
      out.add(new Frame(type, stream, number, payload(in, start, length)));
    } catch (IOException | MessagePackException e) {
      throw malformed(e);
    }
  }

  /** Returns the payload as a slice; an empty payload does not retain the frame's buffer. */
  private static ByteBuf payload(ByteBuf in, int start, int length) {
    return length == 0 ? Unpooled.EMPTY_BUFFER : in.retainedSlice(start, length);
  }

  private static PomelohollowException malformed(Exception cause) {
    return new PomelohollowException(ErrorCode.WIRE_MALFORMED, "malformed frame", cause);
  }
}
