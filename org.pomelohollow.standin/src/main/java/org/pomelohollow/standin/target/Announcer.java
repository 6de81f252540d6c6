package org.pomelohollow.standin.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.wire.AnnouncementBody;
import org.pomelohollow.wire.HttpNames;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/** Talks to the target's own daemon: announcements, withdrawal and outbound calls. */
final class Announcer {
  private static final Duration PERIOD = Duration.ofMillis(250);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final ObjectMapper json = new ObjectMapper();
  private final Supplier<AnnouncementBody> body;
  private final BooleanSupplier silent;
  private final HttpClient http;
  private Disposable beats = () -> {};
  private volatile boolean withdrawn;

  Announcer(
      Endpoint daemon,
      LoopResources loops,
      Supplier<AnnouncementBody> body,
      BooleanSupplier silent) {
    this.silent = silent;
    this.body = body;
    this.http = HttpClient.create().runOn(loops).baseUrl("http://" + daemon);
  }

  void start() {
    beats =
        Flux.interval(Duration.ZERO, PERIOD)
            .onBackpressureDrop()
            .concatMap(i -> announce())
            .subscribe();
  }

  void stop() {
    beats.dispose();
  }

  void withdraw() {
    withdrawn = true;
    post(HttpNames.WITHDRAW_PATH, new byte[0]).block(TIMEOUT);
  }

  /** Calls a path through the daemon as part of a request, and gives the status. */
  Mono<Integer> call(String path, String requestId) {
    return http.headers(h -> h.set(HttpNames.REQUEST_ID, requestId))
        .get()
        .uri(path)
        .responseSingle((r, b) -> b.asByteArray().thenReturn(r.status().code()));
  }

  private Mono<Void> announce() {
    if (withdrawn || silent.getAsBoolean()) {
      return Mono.empty();
    }
    try {
      return post(HttpNames.ANNOUNCE_PATH, json.writeValueAsBytes(body.get()));
    } catch (JsonProcessingException e) {
      return Mono.error(e);
    }
  }

  private Mono<Void> post(String path, byte[] content) {
    return http.post()
        .uri(path)
        .send(ByteBufMono.fromSupplier(() -> Unpooled.wrappedBuffer(content)))
        .response()
        .timeout(TIMEOUT)
        .onErrorResume(
            e -> {
              Logger.debug("target stand-in: daemon does not answer: {}", e.getMessage());
              return Mono.empty();
            })
        .then();
  }
}
