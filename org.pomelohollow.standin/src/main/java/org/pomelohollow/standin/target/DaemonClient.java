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

/** HTTP client of the target's own daemon: announcements, withdrawal and outbound calls. */
final class DaemonClient {
  private static final Duration ANNOUNCE_PERIOD = Duration.ofMillis(250);
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final ObjectMapper json = new ObjectMapper();
  private final Supplier<AnnouncementBody> announcement;
  private final BooleanSupplier silent;
  private final HttpClient http;
  private Disposable announcing = () -> {};
  private volatile boolean withdrawn;

  DaemonClient(
      Endpoint daemon,
      LoopResources loops,
      Supplier<AnnouncementBody> announcement,
      BooleanSupplier silent) {
    this.silent = silent;
    this.announcement = announcement;
    this.http = HttpClient.create().runOn(loops).baseUrl("http://" + daemon);
  }

  /** Starts announcing the target to the daemon, every 250 ms. */
  void startAnnouncing() {
    announcing =
        Flux.interval(Duration.ZERO, ANNOUNCE_PERIOD)
            .onBackpressureDrop()
            .concatMap(i -> announce())
            .subscribe();
  }

  void stopAnnouncing() {
    announcing.dispose();
  }

  /** Withdraws the target from the daemon and sends no further announcement. */
  void withdraw() {
    withdrawn = true;
    post(HttpNames.WITHDRAW_PATH, new byte[0]).block(TIMEOUT);
  }

  /**
   * Makes an outbound call through the daemon.
   *
   * @param path path and query of the call
   * @param requestId identifier of the running request that the call belongs to
   * @return status of the response
   */
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
      return post(HttpNames.ANNOUNCE_PATH, json.writeValueAsBytes(announcement.get()));
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
              Logger.debug("target stand-in: request to the daemon failed: {}", e.getMessage());
              return Mono.empty();
            })
        .then();
  }
}
