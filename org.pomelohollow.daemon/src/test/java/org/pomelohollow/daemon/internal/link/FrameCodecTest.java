package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.pomelohollow.errors.PomelohollowException;

class FrameCodecTest {
  @Property(seed = "3", tries = 300)
  void framesSurviveEncodingAndDecoding(
      @ForAll FrameType type,
      @ForAll @LongRange(min = 0) long stream,
      @ForAll @LongRange(min = 0) long number,
      @ForAll byte[] payload) {
    Frame f = encodeAndDecode(new Frame(type, stream, number, Unpooled.wrappedBuffer(payload)));
    assertEquals(type, f.type());
    assertEquals(stream, f.stream());
    assertEquals(number, f.number());
    assertArrayEquals(payload, f.takeBytes());
  }

  /** Above a bound the payload is not copied behind the head but written on its own. */
  @Property(seed = "5", tries = 50)
  void longPayloadsSurviveEncodingAndDecoding(
      @ForAll @IntRange(min = 8_000, max = 70_000) int length) {
    byte[] payload = new byte[length];
    new Random(length).nextBytes(payload);
    Frame f = encodeAndDecode(new Frame(FrameType.DATA, 7, 0, Unpooled.wrappedBuffer(payload)));
    assertArrayEquals(payload, f.takeBytes());
  }

  @Property(seed = "4", tries = 2000)
  void everyInputIsDecodedOrRejected(@ForAll byte[] input) {
    EmbeddedChannel c = channel();
    try {
      c.writeInbound(withLength(Unpooled.wrappedBuffer(input)));
    } catch (DecoderException e) {
      assertEquals(PomelohollowException.class, e.getCause().getClass());
    } catch (PomelohollowException e) {
      assertEquals("malformed frame", e.getMessage());
    }
  }

  @Example
  void aFrameWithoutPayloadReleasesTheEncodedBuffer() {
    EmbeddedChannel c = channel();
    c.writeOutbound(Frame.of(FrameType.END, 1, 7));
    ByteBuf encoded = c.readOutbound();
    c.writeInbound(encoded);
    Frame f = c.readInbound();
    assertEquals(7, f.number());
    assertEquals(0, encoded.refCnt());
  }

  @Example
  void aTruncatedPayloadIsRejected() {
    EmbeddedChannel c = channel();
    c.writeOutbound(Frame.of(FrameType.DATA, 1, new byte[100]));
    ByteBuf encoded = c.readOutbound();
    EmbeddedChannel d = channel();
    org.junit.jupiter.api.Assertions.assertThrows(
        RuntimeException.class,
        () -> d.writeInbound(withLength(encoded.copy(FrameEncoder.LENGTH_BYTES, 50))));
  }

  private static EmbeddedChannel channel() {
    return new EmbeddedChannel(new FrameDecoder(), new FrameEncoder());
  }

  private static ByteBuf withLength(ByteBuf encoded) {
    return Unpooled.wrappedBuffer(Unpooled.copyInt(encoded.readableBytes()), encoded);
  }

  private static Frame encodeAndDecode(Frame f) {
    EmbeddedChannel c = channel();
    c.writeOutbound(f);
    for (ByteBuf b = c.readOutbound(); b != null; b = c.readOutbound()) {
      c.writeInbound(b);
    }
    return c.readInbound();
  }
}
