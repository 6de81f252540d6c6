package org.pomelohollow.daemon.internal.link;

import java.util.Optional;

/** Types of frames. */
enum FrameType {
  /** First frame of each side: protocol version, identity and nonce. */
  HELLO(1),
  /** Proves that the sender knows the peer secret. */
  PROOF(2),
  /** Carries a control message. */
  CONTROL(3),
  /** Opens a stream with the head of an attempt. */
  ATTEMPT(4),
  /** Head of the response on a stream; the body follows in DATA frames. */
  RESPONSE_HEAD(5),
  /** Ends a stream whose attempt failed without a response. */
  FAILURE(6),
  /** Part of a request or response body. */
  DATA(7),
  /** Grants the other side credit to send more bytes of a body; its number is the credit. */
  CREDIT(8),
  /** Ends a body; its number is the length of the body. */
  END(9),
  /** Aborts a stream. */
  RESET(10),
  /** Keep-alive. */
  PING(11),
  /** Head and body of a short response in one frame; its number is the length of the head. */
  FULL_RESPONSE(12);

  private static final FrameType[] ALL = values();

  private final int number;

  FrameType(int number) {
    this.number = number;
  }

  /** Returns the number on the wire. */
  int number() {
    return number;
  }

  /** Returns the type with a number, empty if there is none. */
  static Optional<FrameType> of(int number) {
    return number >= 1 && number <= ALL.length ? Optional.of(ALL[number - 1]) : Optional.empty();
  }
}
