package org.pomelohollow.daemon.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.RequestBody;
import reactor.core.publisher.Flux;

/**
 * An open request of a connection. Its response, once available, waits until the responses to
 * earlier requests have been sent.
 */
final class PendingResponse implements InboundRequest {
  private final InboundConnection connection;
  private final HttpRequest head;
  private final RequestBody body;
  private final Runnable releaseBody;
  private final long receivedNanos;
  private final List<Runnable> goneCallbacks = new ArrayList<>();
  private Optional<HttpResponse> response = Optional.empty();
  private Optional<Flux<ByteBuf>> content = Optional.empty();
  private boolean started;
  private boolean ended;

  /**
   * Creates an open request.
   *
   * @param connection connection of the request
   * @param head head of the request
   * @param body body of the request
   * @param releaseBody releases what nobody has begun to read of the body, run when the exchange
   *     ends
   * @param receivedNanos when the request was read, as monotonic time in nanoseconds
   */
  PendingResponse(
      InboundConnection connection,
      HttpRequest head,
      RequestBody body,
      Runnable releaseBody,
      long receivedNanos) {
    this.releaseBody = releaseBody;
    this.receivedNanos = receivedNanos;
    this.connection = connection;
    this.head = head;
    this.body = body;
  }

  @Override
  public HttpRequest head() {
    return head;
  }

  @Override
  public RequestBody body() {
    return body;
  }

  @Override
  public long receivedNanos() {
    return receivedNanos;
  }

  @Override
  public void respond(FullHttpResponse r) {
    if (ended || response.isPresent()) {
      r.release();
      return;
    }
    response = Optional.of(r);
    connection.sendReadyResponses();
  }

  @Override
  public void respond(HttpResponse h, Flux<ByteBuf> b) {
    if (ended || response.isPresent()) {
      b.subscribe(ByteBuf::release).dispose();
      return;
    }
    response = Optional.of(h);
    content = Optional.of(b);
    connection.sendReadyResponses();
  }

  @Override
  public boolean replaceUnsent(FullHttpResponse r) {
    if (ended || started || content.isEmpty()) {
      r.release();
      return false;
    }
    content.get().subscribe(ByteBuf::release, t -> {}).dispose();
    content = Optional.empty();
    response = Optional.of(r);
    connection.sendReadyResponses();
    return true;
  }

  @Override
  public void abort() {
    connection.close();
  }

  @Override
  public void onDisconnect(Runnable r) {
    if (ended || !connection.isOpen()) {
      r.run();
    } else {
      goneCallbacks.add(r);
    }
  }

  /** Returns the head of the response or the full response, empty until it is available. */
  Optional<HttpResponse> responseHead() {
    return response;
  }

  /** Returns the body of a streamed response, empty for a full response. */
  Optional<Flux<ByteBuf>> content() {
    return content;
  }

  /** Marks that the response begins to be sent: it can't be replaced any more. */
  void markStarted() {
    started = true;
  }

  /** Ends the exchange after its response: callbacks for a lost connection no longer run. */
  void markSent() {
    end();
  }

  /** Ends the exchange without its response and runs the callbacks: the connection was closed. */
  void connectionLost() {
    if (!end()) {
      return;
    }
    if (content.isEmpty() && response.orElse(null) instanceof FullHttpResponse f) {
      f.release();
    }
    goneCallbacks.forEach(Runnable::run);
  }

  /** Ends the exchange and releases what it holds; returns whether it had not ended before. */
  private boolean end() {
    boolean first = !ended;
    ended = true;
    if (first) {
      releaseBody.run();
    }
    return first;
  }
}
