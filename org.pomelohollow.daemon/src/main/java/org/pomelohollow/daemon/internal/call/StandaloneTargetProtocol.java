package org.pomelohollow.daemon.internal.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.pomelohollow.daemon.protocol.HeaderRules;
import org.pomelohollow.daemon.protocol.TargetProtocol;
import org.pomelohollow.decision.TargetAnnouncement;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.HttpNames;

/** Target protocol of the standalone deployment, with the {@code Pomelo-} header fields. */
public final class StandaloneTargetProtocol implements TargetProtocol {
  private static final String NOT_RUN = "not-run";

  @Override
  public void completeRequest(
      HttpHeaders out, RequestContext c, long remainingMillis, TargetAnnouncement target) {
    out.set(HttpNames.REQUEST_ID, c.requestId());
    out.set(HttpNames.TIMEOUT_MILLIS, Long.toString(remainingMillis));
  }

  @Override
  public ResponseKind classify(HttpResponse r, HttpHeaders sent) {
    String id = r.headers().get(HttpNames.REQUEST_ID);
    if (id != null && !id.equals(sent.get(HttpNames.REQUEST_ID))) {
      return new ResponseKind.OtherRequest();
    }
    boolean shed =
        r.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            && NOT_RUN.equals(r.headers().get(HttpNames.VERDICT));
    return shed ? new ResponseKind.NotRun(retryAfterMillis(r.headers())) : new ResponseKind.Valid();
  }

  @Override
  public List<HeaderField> fieldsForCaller(HttpHeaders h) {
    return HeaderRules.fieldsForCaller(h);
  }

  private static long retryAfterMillis(HttpHeaders h) {
    try {
      return TimeUnit.SECONDS.toMillis(Long.parseLong(h.get(HttpHeaderNames.RETRY_AFTER, "0")));
    } catch (NumberFormatException e) {
      return 0; // Not in seconds, e.g. an HTTP date: treated as if the target had named no time.
    }
  }
}
