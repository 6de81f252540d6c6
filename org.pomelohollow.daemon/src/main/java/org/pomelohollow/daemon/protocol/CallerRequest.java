package org.pomelohollow.daemon.protocol;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.HeaderField;

/**
 * What a caller says of its request in header fields.
 *
 * @param requestId the caller's identifier of the request, if its protocol has one
 * @param host host name in lower case, without a port, if named
 * @param key the caller's key, if one was sent; never logged and never forwarded
 * @param idempotencyKey the caller's key for resends, if any
 * @param timeoutMillis time that the caller gives the request, in milliseconds, if named
 * @param forTarget fields that go to the target
 */
public record CallerRequest(
    Optional<String> requestId,
    Optional<String> host,
    Optional<String> key,
    Optional<String> idempotencyKey,
    Optional<Long> timeoutMillis,
    List<HeaderField> forTarget) {
  /** Checks the fields. */
  public CallerRequest {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(timeoutMillis, "timeoutMillis");
    forTarget = List.copyOf(forTarget);
  }
}
