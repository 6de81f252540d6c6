package org.pomelohollow.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.Priority;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetNotice;

/**
 * Hand-written MessagePack codecs for the messages of attempts. These messages are encoded and
 * decoded thousands of times a second, also by processes that have just started, in which the
 * generic object mapping costs several times as much.
 */
final class AttemptCodec {
  /** Pressure and slowdown. */
  private static final int LOAD_ARRAY_SIZE = 2;

  private AttemptCodec() {}

  static void pack(MessagePacker p, AttemptHead h) throws IOException {
    p.packString(h.requestId()).packString(h.rootId()).packString(h.service());
    p.packString(h.route());
    packOptionalString(p, h.account());
    p.packInt(h.priority()).packLong(h.remainingMicros()).packBoolean(h.idempotent());
    packOptionalString(p, h.idempotencyKey());
    p.packLong(h.fingerprint()).packInt(h.retryAllowance()).packInt(h.depth());
    p.packBoolean(h.bulk()).packString(h.method()).packString(h.uri());
    packHeaderFields(p, h.headers());
    if (h.streamedLength().isPresent()) {
      p.packLong(h.streamedLength().get());
    } else {
      p.packNil();
    }
    p.packBinaryHeader(h.body().length()).writePayload(h.body().array());
    packNotice(p, h.notice());
  }

  static AttemptHead unpackAttemptHead(MessageUnpacker u) throws IOException {
    return new AttemptHead(
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        u.unpackString(),
        unpackOptionalString(u),
        u.unpackInt(),
        u.unpackLong(),
        u.unpackBoolean(),
        unpackOptionalString(u),
        u.unpackLong(),
        u.unpackInt(),
        u.unpackInt(),
        u.unpackBoolean(),
        u.unpackString(),
        u.unpackString(),
        unpackHeaderFields(u),
        u.tryUnpackNil() ? Optional.empty() : Optional.of(u.unpackLong()),
        Bytes.of(u.readPayload(u.unpackBinaryHeader())),
        unpackNotice(u));
  }

  static void pack(MessagePacker p, ResponseHead h) throws IOException {
    p.packInt(h.status());
    packHeaderFields(p, h.headers());
    packLoad(p, h.load());
    packNotice(p, h.notice());
  }

  static ResponseHead unpackResponseHead(MessageUnpacker u) throws IOException {
    return new ResponseHead(u.unpackInt(), unpackHeaderFields(u), unpackLoad(u), unpackNotice(u));
  }

  static void pack(MessagePacker p, AttemptFailure f) throws IOException {
    p.packString(f.code()).packBoolean(f.mayHaveRun()).packLong(f.retryAfterMillis());
    if (f.load().isPresent()) {
      packLoad(p, f.load().get());
    } else {
      p.packNil();
    }
  }

  static AttemptFailure unpackAttemptFailure(MessageUnpacker u) throws IOException {
    return new AttemptFailure(
        u.unpackString(),
        u.unpackBoolean(),
        u.unpackLong(),
        u.tryUnpackNil() ? Optional.empty() : Optional.of(unpackLoad(u)));
  }

  private static void packLoad(MessagePacker p, TargetLoad l) throws IOException {
    p.packInt(l.limit()).packInt(l.inFlight()).packInt(l.queued());
    p.packInt(l.cutOff().rank());
    if (l.hasSlowdown()) {
      p.packArrayHeader(LOAD_ARRAY_SIZE).packDouble(l.pressure()).packDouble(l.slowdown());
    } else {
      p.packDouble(l.pressure()); // As in releases that know no slowdown.
    }
  }

  private static TargetLoad unpackLoad(MessageUnpacker u) throws IOException {
    int limit = u.unpackInt();
    int inFlight = u.unpackInt();
    int queued = u.unpackInt();
    Priority cutOff = new Priority(u.unpackInt());
    if (u.getNextFormat().getValueType() != ValueType.ARRAY) {
      return new TargetLoad(limit, inFlight, queued, cutOff, u.unpackDouble());
    }
    int size = u.unpackArrayHeader();
    if (size != LOAD_ARRAY_SIZE) {
      throw new IOException("load report with " + size + " values in its array");
    }
    return new TargetLoad(limit, inFlight, queued, cutOff, u.unpackDouble(), u.unpackDouble());
  }

  /** Encodes a notice at the end of a message, which is as in earlier releases without one. */
  private static void packNotice(MessagePacker p, Optional<TargetNotice> notice)
      throws IOException {
    if (notice.isEmpty()) {
      return;
    }
    TargetNotice n = notice.get();
    p.packString(n.target().instance()).packLong(n.target().startedMillis());
    p.packBoolean(n.leaving());
    if (n.requestsPerSecond().isPresent()) {
      p.packDouble(n.requestsPerSecond().get());
    } else {
      p.packNil();
    }
  }

  private static Optional<TargetNotice> unpackNotice(MessageUnpacker u) throws IOException {
    if (!u.hasNext()) {
      return Optional.empty();
    }
    TargetIncarnation t = new TargetIncarnation(u.unpackString(), u.unpackLong());
    boolean leaving = u.unpackBoolean();
    Optional<Double> rate = u.tryUnpackNil() ? Optional.empty() : Optional.of(u.unpackDouble());
    return Optional.of(new TargetNotice(t, rate, leaving));
  }

  private static void packHeaderFields(MessagePacker p, List<HeaderField> fields)
      throws IOException {
    p.packArrayHeader(fields.size());
    for (HeaderField f : fields) {
      p.packString(f.name()).packString(f.value());
    }
  }

  private static List<HeaderField> unpackHeaderFields(MessageUnpacker u) throws IOException {
    int count = u.unpackArrayHeader();
    List<HeaderField> out = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      out.add(new HeaderField(u.unpackString(), u.unpackString()));
    }
    return out;
  }

  private static void packOptionalString(MessagePacker p, Optional<String> s) throws IOException {
    if (s.isPresent()) {
      p.packString(s.get());
    } else {
      p.packNil();
    }
  }

  private static Optional<String> unpackOptionalString(MessageUnpacker u) throws IOException {
    return u.tryUnpackNil() ? Optional.empty() : Optional.of(u.unpackString());
  }
}
