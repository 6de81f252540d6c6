package org.pomelohollow.decision.request;

import java.util.Objects;
import java.util.Optional;
import org.pomelohollow.model.RequestContext;

/**
 * Fields of a request that the entry daemon reads before it decides on the request.
 *
 * @param requestId unique identifier assigned by the entry daemon
 * @param host requested host name in lower case, without a port; empty if the request names none
 * @param method HTTP method in upper case
 * @param path path without query, as received
 * @param apiKey the caller's API key, if any; never logged and never forwarded
 * @param idempotencyKey key by which the caller marks resends of the request, if any
 * @param timeoutMillis timeout set by the caller, in milliseconds, if any
 * @param contentHash hash of query and body, or of query and length if the body is long
 * @param parent context of the running request that made this call; empty if none is named
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
    Objects.requireNonNull(apiKey, "apiKey");
    Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    Objects.requireNonNull(timeoutMillis, "timeoutMillis");
    Objects.requireNonNull(parent, "parent");
  }

  /**
   * Creates the head of a request without a host name.
   *
   * @param requestId unique identifier assigned by the entry daemon
   * @param method HTTP method in upper case
   * @param path path without query, as received
   * @param apiKey the caller's API key, if any
   * @param idempotencyKey key by which the caller marks resends of the request, if any
   * @param timeoutMillis timeout set by the caller, in milliseconds, if any
   * @param contentHash hash of query and body, or of query and length if the body is long
   * @param parent context of the running request that made this call; empty if none is named
   */
  public RequestHead(
      String requestId,
      String method,
      String path,
      Optional<String> apiKey,
      Optional<String> idempotencyKey,
      Optional<Long> timeoutMillis,
      long contentHash,
      Optional<RequestContext> parent) {
    this(
        requestId,
        Optional.empty(),
        method,
        path,
        apiKey,
        idempotencyKey,
        timeoutMillis,
        contentHash,
        parent);
  }

  /** Returns identifier, method and path; must not contain the API key. */
  @Override
  public String toString() {
    return requestId + " " + method + " " + path;
  }
}
