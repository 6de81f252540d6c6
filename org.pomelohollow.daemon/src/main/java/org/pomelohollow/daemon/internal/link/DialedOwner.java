package org.pomelohollow.daemon.internal.link;

import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/** Settles the attempt to connect before it hands on what happens to its link. */
record DialedOwner(LinkOwner owner, Dial dial) implements LinkOwner {
  @Override
  public void up(Link link) {
    owner.up(link);
    dial.settle(Optional.of(link));
  }

  @Override
  public void down(Link link, boolean wasUp) {
    owner.down(link, wasUp);
    dial.settle(Optional.empty());
  }

  @Override
  public void failed(Link link, Throwable cause) {
    owner.failed(link, cause);
  }

  @Override
  public void received(Link link, PeerMessage message, int bytes) {
    owner.received(link, message, bytes);
  }
}
