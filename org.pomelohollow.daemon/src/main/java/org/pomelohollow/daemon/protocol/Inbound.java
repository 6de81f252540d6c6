package org.pomelohollow.daemon.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import reactor.core.publisher.Flux;

/** A request on a connection, and the place of its answer. Exactly one answer is given. */
public interface Inbound {
  /** Returns the head of the request. */
  HttpRequest head();

  /** Returns the body of the request. */
  RequestBody body();

  /**
   * Answers with a whole message.
   *
   * @param r the answer, handed over
   */
  void answer(FullHttpResponse r);

  /**
   * Answers with a body that is still on its way. If it breaks off, the connection is closed so
   * that the answer does not look complete.
   *
   * @param head head of the answer
   * @param body body; each buffer is handed over
   */
  void answer(HttpResponse head, Flux<ByteBuf> body);

  /** Closes the connection without an answer, or in the middle of one. */
  void cut();

  /**
   * Adds what to do when the caller leaves before the answer has been sent.
   *
   * @param r run at most once
   */
  void onGone(Runnable r);
}
