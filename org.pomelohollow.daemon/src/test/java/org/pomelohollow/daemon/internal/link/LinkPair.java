package org.pomelohollow.daemon.internal.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pomelohollow.daemon.internal.call.ResponseListener;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.junit.RequestContexts;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.RequestContext;
import org.pomelohollow.wire.AttemptHead;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.WireCodec;
import reactor.core.publisher.Flux;

/** Both ends of a link, without sockets: frames pass when the test delivers them. */
final class LinkPair {
  private static final PeerSecret SECRET = PeerSecret.of("a secret for tests only");

  /** Listeners of the attempts that were started at the target's end, in their order. */
  final List<ResponseListener> running = new ArrayList<>();

  /** Identifiers of the requests whose attempts were cancelled at the target's end. */
  final List<String> cancelled = new ArrayList<>();

  private final WireCodec codec = new WireCodec();
  final Link entry = link("entry", true);
  final Link target = link("target", false);
  final EmbeddedChannel entryChannel = new EmbeddedChannel(entry);
  final EmbeddedChannel targetChannel = new EmbeddedChannel(target);

  LinkPair() {
    deliver();
  }

  /** Delivers frames both ways until there are none left, each in a read of its own. */
  void deliver() {
    boolean delivered;
    do {
      delivered = deliver(entryChannel, targetChannel) || deliver(targetChannel, entryChannel);
    } while (delivered);
  }

  /** Delivers all frames for the target's end in one read. */
  void deliverTogether() {
    targetChannel.writeInbound(entryChannel.outboundMessages().toArray());
    entryChannel.outboundMessages().clear();
  }

  static AttemptHead head(String id, boolean idempotent) {
    RequestContext c = RequestContexts.of(id, idempotent);
    return AttemptHead.of(
        c, 0, false, "GET", "/x", List.of(), Optional.empty(), Bytes.of(new byte[0]));
  }

  private Link link(String host, boolean initiator) {
    Handshake h = new Handshake(SECRET, new MemberId(host, 1), initiator);
    return new Link(codec, h, initiator, new NoListener(), this::startAttempt);
  }

  private Runnable startAttempt(AttemptHead head, Flux<ByteBuf> body, ResponseListener l) {
    running.add(l);
    return () -> cancelled.add(head.requestId());
  }

  private static boolean deliver(EmbeddedChannel from, EmbeddedChannel to) {
    Frame f = from.readOutbound();
    if (f == null) {
      return false;
    }
    to.writeInbound(f);
    return true;
  }

  private static final class NoListener implements LinkListener {
    @Override
    public void linkUp(Link link) {}

    @Override
    public void linkDown(Link link, boolean wasUp) {}

    @Override
    public void linkFailed(Link link, Throwable cause) {
      throw new AssertionError(cause);
    }

    @Override
    public void messageReceived(Link link, PeerMessage message, int bytes) {}
  }
}
