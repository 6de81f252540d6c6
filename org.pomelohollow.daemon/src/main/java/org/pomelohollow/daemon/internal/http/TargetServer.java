package org.pomelohollow.daemon.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import org.pomelohollow.daemon.protocol.Inbound;
import org.pomelohollow.daemon.protocol.InboundHandler;
import org.pomelohollow.daemon.protocol.Replies;
import org.pomelohollow.daemon.protocol.TargetEvents;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.wire.AnnouncementBody;
import org.pomelohollow.wire.Headers;

/** Handles the requests of this host's target: announcement, withdrawal and outbound calls. */
public final class TargetServer implements InboundHandler {
  private final ObjectMapper json = new ObjectMapper();
  private final InboundHandler outbound;
  private final TargetEvents events;

  /**
   * Creates a handler.
   *
   * @param outbound handles outbound calls
   * @param events notified of announcements and of the withdrawal
   */
  public TargetServer(InboundHandler outbound, TargetEvents events) {
    this.outbound = outbound;
    this.events = events;
  }

  @Override
  public void take(Inbound in) {
    HttpRequest r = in.head();
    boolean post = r.method().equals(HttpMethod.POST);
    if (post && r.uri().equals(Headers.ANNOUNCE_PATH)) {
      announce(in);
    } else if (post && r.uri().equals(Headers.WITHDRAW_PATH)) {
      events.withdrawn();
      in.answer(Replies.empty(HttpResponseStatus.NO_CONTENT));
    } else {
      outbound.take(in);
    }
  }

  private void announce(Inbound in) {
    if (in.body().streamed().isPresent()) {
      badRequest(in, "announcement is too long");
      return;
    }
    try {
      AnnouncementBody a = json.readValue(in.body().whole(), AnnouncementBody.class);
      events.announced(
          new TargetAnnouncement(
              new ServiceId(a.service()),
              Endpoint.parse(a.address()),
              a.instance(),
              a.slots(),
              a.connections(),
              a.cold(),
              a.load()));
      in.answer(Replies.empty(HttpResponseStatus.NO_CONTENT));
    } catch (JsonProcessingException e) {
      badRequest(in, "announcement is not readable: " + e.getOriginalMessage());
    } catch (IOException | PomelohollowException | IllegalArgumentException e) {
      badRequest(in, "announcement is not valid: " + e.getMessage());
    }
  }

  private static void badRequest(Inbound in, String why) {
    in.answer(Replies.text(HttpResponseStatus.BAD_REQUEST, why + "\n"));
  }
}
