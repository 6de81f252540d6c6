package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.wire.AnnouncementBody;
import org.pomelohollow.wire.Headers;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Serves the target of this host: announcements, withdrawal and its outbound calls. */
public final class TargetServer {
  private static final int MAX_ANNOUNCEMENT_BYTES = 64 * 1024;

  private final ObjectMapper json = new ObjectMapper();
  private final Entry entry;
  private final TargetEvents events;

  /**
   * Creates a server.
   *
   * @param entry takes outbound calls
   * @param events hears of the target
   */
  public TargetServer(Entry entry, TargetEvents events) {
    this.entry = entry;
    this.events = events;
  }

  /**
   * Serves a request of the target.
   *
   * @param req the request
   * @param res its answer
   * @return ends when the answer has been sent
   */
  public Publisher<Void> serve(HttpServerRequest req, HttpServerResponse res) {
    String path = req.uri();
    if (path.equals(Headers.ANNOUNCE_PATH) && req.method().equals(HttpMethod.POST)) {
      return req.receive()
          .aggregate()
          .asByteArray()
          .defaultIfEmpty(new byte[0])
          .flatMap(b -> announce(b, res));
    }
    if (path.equals(Headers.WITHDRAW_PATH) && req.method().equals(HttpMethod.POST)) {
      events.withdrawn();
      return res.status(HttpResponseStatus.NO_CONTENT).send();
    }
    return entry.fromTarget(req, res);
  }

  private Mono<Void> announce(byte[] body, HttpServerResponse res) {
    try {
      if (body.length > MAX_ANNOUNCEMENT_BYTES) {
        return badRequest(res, "announcement is too long");
      }
      AnnouncementBody a = json.readValue(body, AnnouncementBody.class);
      events.announced(
          new TargetAnnouncement(
              new ServiceId(a.service()),
              Endpoint.parse(a.address()),
              a.instance(),
              a.slots(),
              a.connections(),
              a.cold(),
              a.load()));
      return res.status(HttpResponseStatus.NO_CONTENT).send();
    } catch (JsonProcessingException e) {
      return badRequest(res, "announcement is not readable: " + e.getOriginalMessage());
    } catch (IOException | PomelohollowException | IllegalArgumentException e) {
      return badRequest(res, "announcement is not valid: " + e.getMessage());
    }
  }

  private static Mono<Void> badRequest(HttpServerResponse res, String why) {
    return res.status(HttpResponseStatus.BAD_REQUEST).sendString(Mono.just(why + "\n")).then();
  }

  /** Hears of the target. */
  public interface TargetEvents {
    /**
     * The target announced itself.
     *
     * @param a what it said
     */
    void announced(TargetAnnouncement a);

    /** The target withdrew. */
    void withdrawn();
  }
}
