package org.pomelohollow.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.PeerMessage;

/**
 * Encodes and decodes peer messages and log entries. An encoded record is one type byte, followed
 * by the components of the record as a MessagePack array. Thread-safe.
 */
public final class WireCodec {
  /** Maximum length of a string, in characters. */
  private static final int MAX_STRING_LENGTH = 4 << 20;

  private static final int MAX_NESTING = 32;

  /** Smaller than the default buffer of 8 KB, which is cleared for each of these short messages. */
  private static final MessagePack.PackerConfig ATTEMPT_PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(1_024);

  private final ObjectMapper mapper;
  private final Map<Class<?>, WireType> byClass = new HashMap<>();
  private final Map<Integer, WireType> byNumber = new HashMap<>();

  /** Creates a codec for all types of {@link WireType}. */
  public WireCodec() {
    MessagePackFactory factory = new MessagePackFactory();
    factory.setStreamReadConstraints(
        StreamReadConstraints.builder()
            .maxNestingDepth(MAX_NESTING)
            .maxStringLength(MAX_STRING_LENGTH)
            .build());
    mapper = new ObjectMapper(factory);
    mapper.registerModule(new Jdk8Module());
    mapper.setAnnotationIntrospector(new RecordsAsArrays());
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    for (WireType t : WireType.values()) {
      byClass.put(t.type(), t);
      byNumber.put(t.number(), t);
    }
  }

  /**
   * Encodes a peer message or a log entry.
   *
   * @param record a record of a registered type, not null
   * @return the bytes
   * @throws PomelohollowException with {@link ErrorCode#INTERNAL} if the type is not registered
   */
  public byte[] encode(Object record) {
    WireType t = byClass.get(record.getClass());
    if (t == null) {
      throw new PomelohollowException(
          ErrorCode.INTERNAL, record.getClass().getName() + " is not registered as a wire type");
    }
    if (isAttemptMessage(t)) {
      return encodeAttemptMessage(t, record);
    }
    try {
      byte[] body = mapper.writeValueAsBytes(record);
      byte[] encoded = new byte[body.length + 1];
      encoded[0] = (byte) t.number();
      System.arraycopy(body, 0, encoded, 1, body.length);
      return encoded;
    } catch (JsonProcessingException e) {
      throw new PomelohollowException(ErrorCode.INTERNAL, "cannot encode " + t, e);
    }
  }

  /**
   * Decodes a peer message.
   *
   * @param bytes encoded message
   * @return the message
   * @throws PomelohollowException with {@link ErrorCode#WIRE_MALFORMED} if the bytes are not an
   *     encoded peer message
   */
  public PeerMessage decodeMessage(byte[] bytes) {
    if (decode(bytes) instanceof PeerMessage m) {
      return m;
    }
    throw new PomelohollowException(
        ErrorCode.WIRE_MALFORMED, "the decoded record is not a peer message");
  }

  /**
   * Decodes a record of a given registered type.
   *
   * @param <T> expected type of the record
   * @param type expected type of the record
   * @param bytes encoded record
   * @return the record
   * @throws PomelohollowException with {@link ErrorCode#WIRE_MALFORMED} if the bytes are not an
   *     encoded record of this type
   */
  public <T extends Record> T decode(Class<T> type, byte[] bytes) {
    Object o = decode(bytes);
    if (type.isInstance(o)) {
      return type.cast(o);
    }
    throw new PomelohollowException(
        ErrorCode.WIRE_MALFORMED,
        "decoded " + o.getClass().getSimpleName() + " instead of " + type.getSimpleName());
  }

  /**
   * Decodes a log entry.
   *
   * @param bytes encoded entry
   * @return the entry, empty if this version of the program cannot decode it
   */
  public Optional<LogEntry> decodeEntry(byte[] bytes) {
    try {
      return decode(bytes) instanceof LogEntry e ? Optional.of(e) : Optional.empty();
    } catch (PomelohollowException e) {
      return Optional.empty();
    }
  }

  private Object decode(byte[] bytes) {
    WireType t = bytes.length == 0 ? null : byNumber.get(bytes[0] & 0xff);
    if (t == null) {
      throw new PomelohollowException(
          ErrorCode.WIRE_MALFORMED, "empty record or unknown wire type");
    }
    if (isAttemptMessage(t)) {
      return decodeAttemptMessage(t, bytes);
    }
    try {
      Object o = mapper.readValue(Arrays.copyOfRange(bytes, 1, bytes.length), t.type());
      if (o == null) {
        throw new PomelohollowException(ErrorCode.WIRE_MALFORMED, t + " decoded to null");
      }
      return o;
    } catch (IOException | RuntimeException e) {
      throw new PomelohollowException(ErrorCode.WIRE_MALFORMED, "cannot decode " + t, e);
    }
  }

  private static boolean isAttemptMessage(WireType t) {
    return t == WireType.ATTEMPT_HEAD
        || t == WireType.RESPONSE_HEAD
        || t == WireType.ATTEMPT_FAILURE;
  }

  private static byte[] encodeAttemptMessage(WireType t, Object record) {
    try (MessageBufferPacker p = ATTEMPT_PACKER_CONFIG.newBufferPacker()) {
      p.addPayload(new byte[] {(byte) t.number()});
      if (record instanceof AttemptHead h) {
        AttemptCodec.pack(p, h);
      } else if (record instanceof ResponseHead h) {
        AttemptCodec.pack(p, h);
      } else if (record instanceof AttemptFailure f) {
        AttemptCodec.pack(p, f);
      }
      return p.toByteArray();
    } catch (IOException e) {
      throw new PomelohollowException(ErrorCode.INTERNAL, "cannot encode " + t, e);
    }
  }

  private static Object decodeAttemptMessage(WireType t, byte[] bytes) {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes, 1, bytes.length - 1)) {
      Object o =
          switch (t) {
            case ATTEMPT_HEAD -> AttemptCodec.unpackAttemptHead(u);
            case RESPONSE_HEAD -> AttemptCodec.unpackResponseHead(u);
            default -> AttemptCodec.unpackAttemptFailure(u);
          };
      if (u.hasNext()) {
        throw new PomelohollowException(
            ErrorCode.WIRE_MALFORMED, "unexpected bytes after the end of " + t);
      }
      return o;
    } catch (IOException | RuntimeException e) {
      throw new PomelohollowException(ErrorCode.WIRE_MALFORMED, "cannot decode " + t, e);
    }
  }

  /** Maps every record to an array of its components. */
  private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public JsonFormat.Value findFormat(Annotated a) {
      if (a instanceof AnnotatedClass c && c.getRawType().isRecord()) {
        return new JsonFormat.Value().withShape(JsonFormat.Shape.ARRAY);
      }
      return super.findFormat(a);
    }
  }
}
