package org.pomelohollow.daemon.protocol;

import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import reactor.core.Disposable;

/** Follows the operators' documents until it is disposed. */
public interface DocumentFeed extends Disposable {
  /** Feed of a deployment whose documents are in a stream of the log. */
  DocumentFeed NONE =
      new DocumentFeed() {
        @Override
        public void confirm() {}

        @Override
        public void dispose() {}
      };

  /**
   * Asks the store for a newer document, on the event loop, as {@link Effect.ConfirmDocument}
   * requests. An {@link Event.DocumentConfirmed} or {@link Event.DocumentPublished} follows, unless
   * the store does not respond. It replaces an earlier question that has no response yet, and has
   * no effect while the feed repeats a failed read.
   */
  void confirm();
}
