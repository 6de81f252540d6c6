package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.core.buffer.ArrayBufferInput;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;

/** Decodes the frames that {@link FrameEncoder} describes. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
  /** Largest encoded frame, in bytes. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  /** Upper bound on the encoded type, stream, number and payload length together, in bytes. */
  private static final int MAX_HEAD_BYTES = 32;

  private final byte[] head = new byte[MAX_HEAD_BYTES];
  private final ArrayBufferInput input = new ArrayBufferInput(head);
  private final MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(input);

  FrameDecoder() {
    super(MAX_FRAME_BYTES, 0, FrameEncoder.LENGTH_BYTES, 0, FrameEncoder.LENGTH_BYTES);
  }

  @Override
  protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
    ByteBuf encoded = (ByteBuf) super.decode(ctx, in);
    if (encoded == null) {
      return null;
    }
    try {
      return parse(encoded);
    } catch (IOException | MessagePackException e) {
      throw malformed(e);
    } finally {
      encoded.release();
    }
  }

  private Frame parse(ByteBuf in) throws IOException {
    int length = Math.min(MAX_HEAD_BYTES, in.readableBytes());
    in.getBytes(in.readerIndex(), head, 0, length);
    input.reset(head, 0, length);
    unpacker.reset(input);
    FrameType type = FrameType.of(unpacker.unpackInt()).orElseThrow(() -> malformed(null));
    long stream = unpacker.unpackLong();
    long number = unpacker.unpackLong();
    int payloadLength = unpacker.unpackBinaryHeader();
    int start = in.readerIndex() + (int) unpacker.getTotalReadBytes();
    if (stream < 0 || number < 0 || start + payloadLength != in.writerIndex()) {
      throw malformed(null);
    }
    return new Frame(type, stream, number, payload(in, start, payloadLength));
  }

  /** Returns the payload as a slice; an empty payload does not retain the frame's buffer. */
  private static ByteBuf payload(ByteBuf in, int start, int length) {
    return length == 0 ? Unpooled.EMPTY_BUFFER : in.retainedSlice(start, length);
  }

  private static PomelohollowException malformed(Exception cause) {
    return new PomelohollowException(ErrorCode.WIRE_MALFORMED, "malformed frame", cause);
  }
}
