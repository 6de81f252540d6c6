package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.InboundRequest;
import org.pomelohollow.daemon.protocol.SimpleResponses;
import org.pomelohollow.daemon.protocol.TargetLifecycleListener;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.wire.AnnouncementBody;
import org.pomelohollow.wire.HttpNames;

/** Handles the requests of this host's target: announcement, withdrawal and outbound calls. */
public final class TargetServer implements InboundHandler {
  private final ObjectMapper json = new ObjectMapper();
  private final InboundHandler outbound;
  private final TargetLifecycleListener events;

  /**
   * Creates a handler.
   *
   * @param outbound handles outbound calls
   * @param events notified of announcements and of the withdrawal
   */
  public TargetServer(InboundHandler outbound, TargetLifecycleListener events) {
    this.outbound = outbound;
    this.events = events;
  }

  @Override
  public void handle(InboundRequest in) {
    HttpRequest r = in.head();
    boolean post = r.method().equals(HttpMethod.POST);
    if (post && r.uri().equals(HttpNames.ANNOUNCE_PATH)) {
      announce(in);
    } else if (post && r.uri().equals(HttpNames.WITHDRAW_PATH)) {
      events.targetWithdrawn();
      in.respond(SimpleResponses.empty(HttpResponseStatus.NO_CONTENT));
    } else {
      outbound.handle(in);
    }
  }

  private void announce(InboundRequest in) {
    if (in.body().streamed().isPresent()) {
      badRequest(in, "announcement is too long");
      return;
    }
    try {
      AnnouncementBody a = json.readValue(in.body().buffered(), AnnouncementBody.class);
      events.targetAnnounced(
          new TargetAnnouncement(
              new ServiceId(a.service()),
              Endpoint.parse(a.address()),
              a.instance(),
              a.slots(),
              a.connections(),
              a.cold(),
              a.load()));
      in.respond(SimpleResponses.empty(HttpResponseStatus.NO_CONTENT));
    } catch (JsonProcessingException e) {
      badRequest(in, "announcement is not readable: " + e.getOriginalMessage());
    } catch (IOException | PomelohollowException | IllegalArgumentException e) {
      badRequest(in, "announcement is not valid: " + e.getMessage());
    }
  }

  private static void badRequest(InboundRequest in, String why) {
    in.respond(SimpleResponses.text(HttpResponseStatus.BAD_REQUEST, why + "\n"));
  }
}
