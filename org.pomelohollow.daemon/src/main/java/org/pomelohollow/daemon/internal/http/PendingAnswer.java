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

/** A request whose answer waits for its turn on the connection. */
final class PendingAnswer implements InboundRequest {
  private final CallerConnection connection;
  private final HttpRequest head;
  private final RequestBody body;
  private final List<Runnable> gone = new ArrayList<>();
  private Optional<HttpResponse> answer = Optional.empty();
  private Optional<Flux<ByteBuf>> content = Optional.empty();
  private boolean over;

  PendingAnswer(CallerConnection connection, HttpRequest head, RequestBody body) {
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
  public void respond(FullHttpResponse r) {
    if (over || answer.isPresent()) {
      r.release();
      return;
    }
    answer = Optional.of(r);
    connection.answered();
  }

  @Override
  public void respond(HttpResponse h, Flux<ByteBuf> b) {
    if (over || answer.isPresent()) {
      b.subscribe(ByteBuf::release).dispose();
      return;
    }
    answer = Optional.of(h);
    content = Optional.of(b);
    connection.answered();
  }

  @Override
  public void abort() {
    connection.close();
  }

  @Override
  public void onDisconnect(Runnable r) {
    if (over) {
      r.run();
    } else {
      gone.add(r);
    }
  }

  /** Returns the head of the answer, or the whole of it, once it is there. */
  Optional<HttpResponse> ready() {
    return answer;
  }

  /** Returns the rest of an answer that is sent piece by piece. */
  Optional<Flux<ByteBuf>> content() {
    return content;
  }

  /** The answer has been sent. */
  void sent() {
    over = true;
  }

  /** The connection has gone. */
  void lost() {
    if (over) {
      return;
    }
    over = true;
    if (content.isEmpty() && answer.orElse(null) instanceof FullHttpResponse f) {
      f.release();
    }
    gone.forEach(Runnable::run);
  }
}
