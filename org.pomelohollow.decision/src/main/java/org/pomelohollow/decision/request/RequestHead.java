package org.pomelohollow.decision.request;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.RequestContext;

/**
 * What the entry daemon reads of a request before it decides.
 *
 * @param requestId identifier made by the entry, unique
 * @param host host name that the request is for in lower case, without a port, if named
 * @param method HTTP method in upper case
 * @param path path without query, as sent
 * @param apiKey the caller's key, if one was sent; never logged and never forwarded
 * @param idempotencyKey the caller's key for resends, if any
 * @param timeoutMillis time that the caller gives the request, in milliseconds, if named
 * @param contentHash hash over query and body, or over query and length if the body is long
 * @param parent the running request that this call belongs to, for outbound calls of a target
 */
public record RequestHead(
    String requestId,
    Optional<String> host,
    String method,
    String path,
    Optional<String> apiKey,
    Optional<String> idempotencyKey,
    Optional<Long> timeoutMillis,
    long contentHash,
    Optional<RequestContext> parent) {
  /** Checks the fields. */
  public RequestHead {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(apiKey, "key");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(timeoutMillis, "timeoutMillis");
    Objects.requireNonNull(parent, "parent");
  }

  /**
   * Creates the head of a request that names no host.
   *
   * @param requestId identifier made by the entry, unique
   * @param method HTTP method in upper case
   * @param path path without query, as sent
   * @param key the caller's key, if one was sent
   * @param idempotencyKey the caller's key for resends, if any
   * @param timeoutMillis time that the caller gives the request, in milliseconds, if named
   * @param contentHash hash over query and body
   * @param parent the running request that this call belongs to
   */
  public RequestHead(
      String requestId,
      String method,
      String path,
      Optional<String> key,
      Optional<String> idempotencyKey,
      Optional<Long> timeoutMillis,
      long contentHash,
      Optional<RequestContext> parent) {
    this(
        requestId,
        Optional.empty(),
        method,
        path,
        key,
        idempotencyKey,
        timeoutMillis,
        contentHash,
        parent);
  }

  /** Returns the fields without the caller's key. */
  @Override
  public String toString() {
    return requestId + " " + method + " " + path;
  }
}
