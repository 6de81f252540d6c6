package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.model.HeaderField;

/**
 * Copies a response while it is forwarded, so that it can be replayed when the caller resends the
 * request. Responses with a body above {@link #MAX_BODY_BYTES} are not recorded.
 */
final class ResponseRecorder {
  /** Largest body that is recorded, in bytes. */
  static final int MAX_BODY_BYTES = 64 * 1024;

  private final int status;
  private final List<HeaderField> headers;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean tooLarge;

  ResponseRecorder(int status, List<HeaderField> headers) {
    this.status = status;
    this.headers = headers;
  }

  /** Appends a copy of a buffer to the recorded body; the caller keeps the buffer. */
  void add(ByteBuf b) {
    if (tooLarge || body.size() + b.readableBytes() > MAX_BODY_BYTES) {
      tooLarge = true;
      return;
    }
    byte[] bytes = new byte[b.readableBytes()];
    b.getBytes(b.readerIndex(), bytes);
    body.writeBytes(bytes);
  }

  /** Returns the recorded response, empty if its body was too large. */
  Optional<RecordedResponse> recordedResponse() {
    if (tooLarge) {
      return Optional.empty();
    }
    String base64Body = Base64.getEncoder().encodeToString(body.toByteArray());
    return Optional.of(new RecordedResponse(status, headers, base64Body));
  }
}
