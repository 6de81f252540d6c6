package org.pomelohollow.daemon.internal.call;

import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.pomelohollow.decision.routing.TargetNoticeCache;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.Verdict;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.ResponseHead;
import reactor.core.publisher.Flux;

/**
 * Sends attempts to a peer with what its target has said in earlier responses, and keeps what the
 * responses say.
 */
public final class NoticeRelay implements AttemptHandler {
  private final TargetNoticeCache notices;
  private final MemberId peer;
  private final AttemptHandler handler;

  /**
   * Creates a relay.
   *
   * @param notices what targets have said
   * @param peer member whose target the attempts are for
   * @param handler runs the attempts
   */
  public NoticeRelay(TargetNoticeCache notices, MemberId peer, AttemptHandler handler) {
    this.notices = notices;
    this.peer = peer;
    this.handler = handler;
  }

  @Override
  public Runnable startAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener listener) {
    return handler.startAttempt(head.withNotice(notices.get(peer)), body, recording(listener));
  }

  private ResponseListener recording(ResponseListener listener) {
    return new ResponseListener() {
      @Override
      public void responseStarted(ResponseHead head, Flux<ByteBuf> body) {
        notices.put(peer, head.notice());
        listener.responseStarted(head, body);
      }

      @Override
      public void fullResponseReceived(ResponseHead head, ByteBuf body) {
        notices.put(peer, head.notice());
        listener.fullResponseReceived(head, body);
      }

      @Override
      public void failed(Verdict verdict, Optional<TargetLoad> load) {
        listener.failed(verdict, load);
      }
    };
  }
}
