package org.pomelohollow.daemon.internal.link;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The body that one side of a stream sends and the one that it receives. Each is present only if it
 * is streamed; short bodies travel with their heads.
 */
final class StreamBodies {
  private final Link link;
  private final long id;
  private Optional<BodySender> sender = Optional.empty();
  private Optional<BodyReceiver> receiver = Optional.empty();

  /**
   * Creates an instance without bodies.
   *
   * @param link link of the stream
   * @param id identifier of the stream
   */
  StreamBodies(Link link, long id) {
    this.link = link;
    this.id = id;
  }

  /**
   * Creates the sender of a body.
   *
   * @param credit initial credit, in bytes
   * @param onEnd receives the length of the complete body, in bytes
   * @param onFailure receives the error if the body fails before its end
   * @return the sender, to subscribe to the body
   */
  BodySender createSender(long credit, LongConsumer onEnd, Consumer<Throwable> onFailure) {
    BodySender s =
        new BodySender(
            credit, b -> link.send(new Frame(FrameType.DATA, id, 0, b)), onEnd, onFailure);
    sender = Optional.of(s);
    return s;
  }

  /**
   * Creates the receiver of a body.
   *
   * @param grantsInitialCredit whether the peer starts without credit
   * @return the receiver
   */
  BodyReceiver createReceiver(boolean grantsInitialCredit) {
    BodyReceiver r =
        new BodyReceiver(grantsInitialCredit, n -> link.send(Frame.of(FrameType.CREDIT, id, n)));
    receiver = Optional.of(r);
    return r;
  }

  /** Returns the sender that a frame is for; rejects the frame if there is none. */
  BodySender senderFor(Frame f) {
    if (sender.isEmpty()) {
      link.rejectFrame(f);
    }
    return sender.orElseThrow();
  }

  /** Returns the receiver that a frame is for; rejects the frame if there is none. */
  BodyReceiver receiverFor(Frame f) {
    if (receiver.isEmpty()) {
      link.rejectFrame(f);
    }
    return receiver.orElseThrow();
  }

  /** Fails the body that is received as truncated, if there is one that has not ended. */
  void failReceived() {
    receiver.ifPresent(BodyReceiver::fail);
  }

  /** Stops sending. */
  void cancelSending() {
    sender.ifPresent(BodySender::cancel);
  }
}
