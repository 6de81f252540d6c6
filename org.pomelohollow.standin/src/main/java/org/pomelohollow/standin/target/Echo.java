package org.pomelohollow.standin.target;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Responds with the request's line, headers and body. */
final class Echo {
  private Echo() {}

  static Mono<Void> respond(HttpServerRequest req, HttpServerResponse res) {
    return req.receive()
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .flatMap(body -> send(req, res, body));
  }

  private static Mono<Void> send(HttpServerRequest req, HttpServerResponse res, byte[] body) {
    StringBuilder head = new StringBuilder();
    head.append(req.method()).append(' ').append(req.uri()).append('\n');
    for (Map.Entry<String, String> h : req.requestHeaders().entries()) {
      head.append(h.getKey()).append(": ").append(h.getValue()).append('\n');
    }
    head.append('\n');
    byte[] text = head.toString().getBytes(StandardCharsets.UTF_8);
    res.addHeader("Echo-Twice", "one").addHeader("Echo-Twice", "two");
    res.header("Content-Length", Integer.toString(text.length + body.length));
    return res.send(Mono.just(Unpooled.wrappedBuffer(text, body))).then();
  }
}
