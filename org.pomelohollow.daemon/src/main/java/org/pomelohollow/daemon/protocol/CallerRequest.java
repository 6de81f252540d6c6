package org.pomelohollow.daemon.protocol;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.HeaderField;

/**
 * Values that a caller gives in the header fields of its request.
 *
 * @param requestId identifier that the caller gives to the request, if its protocol has one
 * @param host host name of the Host field in lower case, without a port, if present
 * @param apiKey API key, if present; never logged and never forwarded
 * @param idempotencyKey idempotency key, which marks resends of the same request, if present
 * @param timeoutMillis time limit of the request, in milliseconds, if present
 * @param fieldsForTarget header fields to forward to the target
 */
public record CallerRequest(
    Optional<String> requestId,
    Optional<String> host,
    Optional<String> apiKey,
    Optional<String> idempotencyKey,
    Optional<Long> timeoutMillis,
    List<HeaderField> fieldsForTarget) {
  /** Checks for nulls and copies the list. */
  public CallerRequest {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(apiKey, "key");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(timeoutMillis, "timeoutMillis");
    fieldsForTarget = List.copyOf(fieldsForTarget);
  }
}
