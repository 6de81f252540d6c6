package org.pomelohollow.daemon.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import reactor.core.publisher.Flux;

/**
 * Request received on a connection, and the means to respond to it. It gets exactly one response.
 */
public interface InboundRequest {
  /** Returns the head of the request. */
  HttpRequest head();

  /** Returns the body of the request. */
  RequestBody body();

  /**
   * Sends a complete response.
   *
   * @param r the response; the callee takes ownership
   */
  void respond(FullHttpResponse r);

  /**
   * Returns when the request was read, as monotonic time in nanoseconds. It may have waited since
   * then, so its time limit counts from here.
   */
  long receivedNanos();

  /**
   * Sends a response with a streamed body. If the body ends with an error, the connection is closed
   * so that the response does not look complete.
   *
   * @param head head of the response
   * @param body body of the response; the callee takes ownership of each buffer
   */
  void respond(HttpResponse head, Flux<ByteBuf> body);

  /**
   * Replaces a response of which nothing was sent yet, because those to earlier requests are due.
   * Its body is cancelled.
   *
   * @param r the response to send in its place; the callee takes ownership
   * @return false if the response has begun to be sent or was sent, or the caller has left
   */
  boolean replaceUnsent(FullHttpResponse r);

  /** Closes the connection without a response, or in the middle of one. */
  void abort();

  /**
   * Registers a callback for a caller that disconnects before the response has been sent. It runs
   * at once if the caller has disconnected.
   *
   * @param r the callback, run at most once
   */
  void onDisconnect(Runnable r);
}
