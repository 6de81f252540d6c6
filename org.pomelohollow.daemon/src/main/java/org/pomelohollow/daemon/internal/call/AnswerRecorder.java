package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.model.HeaderField;

/** Copies an answer on its way, up to a bound. */
final class AnswerRecorder {
  /** Greatest body that is kept, in bytes. */
  static final int MAX_BYTES = 64 * 1024;

  private final int status;
  private final List<HeaderField> headers;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean tooLarge;

  AnswerRecorder(int status, List<HeaderField> headers) {
    this.status = status;
    this.headers = headers;
  }

  void add(ByteBuf b) {
    if (tooLarge || body.size() + b.readableBytes() > MAX_BYTES) {
      tooLarge = true;
      return;
    }
    byte[] bytes = new byte[b.readableBytes()];
    b.getBytes(b.readerIndex(), bytes);
    body.writeBytes(bytes);
  }

  Optional<RecordedResponse> answer() {
    if (tooLarge) {
      return Optional.empty();
    }
    String text = Base64.getEncoder().encodeToString(body.toByteArray());
    return Optional.of(new RecordedResponse(status, headers, text));
  }
}
