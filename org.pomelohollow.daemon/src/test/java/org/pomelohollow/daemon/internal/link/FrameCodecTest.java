package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.pomelohollow.errors.PomelohollowException;

class FrameCodecTest {
  @Property(seed = "3", tries = 300)
  void framesSurviveEncodingAndDecoding(
      @ForAll FrameType type,
      @ForAll @LongRange(min = 0) long stream,
      @ForAll @LongRange(min = 0) long number,
      @ForAll byte[] payload) {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(new Frame(type, stream, number, Unpooled.wrappedBuffer(payload)));
    ByteBuf encoded = c.readOutbound();
    c.writeInbound(encoded);
    Frame f = c.readInbound();
    assertEquals(type, f.type());
    assertEquals(stream, f.stream());
    assertEquals(number, f.number());
    assertArrayEquals(payload, f.takeBytes());
  }

  @Property(seed = "4", tries = 2000)
  void everyInputIsDecodedOrRejected(@ForAll byte[] input) {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    try {
      c.writeInbound(Unpooled.wrappedBuffer(input));
    } catch (DecoderException e) {
      assertEquals(PomelohollowException.class, e.getCause().getClass());
    } catch (PomelohollowException e) {
      assertEquals("malformed frame", e.getMessage());
    }
  }

  @Example
  void aFrameWithoutPayloadReleasesTheEncodedBuffer() {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(Frame.of(FrameType.END, 1, 7));
    ByteBuf encoded = c.readOutbound();
    c.writeInbound(encoded);
    Frame f = c.readInbound();
    assertEquals(7, f.number());
    assertEquals(0, encoded.refCnt());
  }

  @Example
  void aTruncatedPayloadIsRejected() {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(Frame.of(FrameType.DATA, 1, new byte[100]));
    ByteBuf encoded = c.readOutbound();
    EmbeddedChannel d = new EmbeddedChannel(new FrameCodec());
    org.junit.jupiter.api.Assertions.assertThrows(
        RuntimeException.class, () -> d.writeInbound(encoded.copy(0, 50)));
  }
}
