package org.pomelohollow.daemon.internal.link;

import java.util.Optional;
import org.pomelohollow.message.PeerMessage;

/**
 * Forwards the events of a link and completes the pending connection when the link is up or has
 * failed.
 */
record PendingConnectionListener(LinkListener links, PendingConnection pending)
    implements LinkListener {
  @Override
  public void linkUp(Link link) {
    links.linkUp(link);
    pending.complete(Optional.of(link));
  }

  @Override
  public void linkDown(Link link, boolean wasUp) {
    links.linkDown(link, wasUp);
    pending.complete(Optional.empty());
  }

  @Override
  public void linkFailed(Link link, Throwable cause) {
    links.linkFailed(link, cause);
  }

  @Override
  public void messageReceived(Link link, PeerMessage message, int bytes) {
    links.messageReceived(link, message, bytes);
  }
}
