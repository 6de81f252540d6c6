package org.pomelohollow.daemon.internal.http;

import java.time.Duration;
import java.util.function.BiFunction;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import org.reactivestreams.Publisher;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Starts the HTTP servers that need no concurrent pipelining, with bounds on heads and idle time.
 */
public final class HttpServers {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

  private HttpServers() {}

  /**
   * Starts a server.
   *
   * @param address address to bind
   * @param loops event loop resources with one worker
   * @param maxHeaderBytes largest allowed request line and, separately, header section, in bytes
   * @param idleTimeout time after which an idle connection is closed
   * @param handler handles the requests
   * @return the running server
   * @throws PomelohollowException with {@link ErrorCode#ADDRESS_UNAVAILABLE} if it cannot listen
   */
  public static DisposableServer start(
      Endpoint address,
      LoopResources loops,
      int maxHeaderBytes,
      Duration idleTimeout,
      BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
    try {
      return HttpServer.create()
          .runOn(loops)
          .host(address.address())
          .port(address.port())
          .idleTimeout(idleTimeout)
          .readTimeout(READ_TIMEOUT)
          .httpRequestDecoder(
              s ->
                  s.maxInitialLineLength(maxHeaderBytes)
                      .maxHeaderSize(maxHeaderBytes)
                      .validateHeaders(true)
                      .allowDuplicateContentLengths(false))
          .handle(handler)
          .bindNow();
    } catch (ChannelBindException e) {
      throw new PomelohollowException(
          ErrorCode.ADDRESS_UNAVAILABLE, "cannot listen on " + address, e);
    }
  }
}
