package org.pomelohollow.daemon.internal.link;

import java.util.Optional;

/** Kinds of frames. */
enum FrameType {
  /** First frame of each side: version, identity, nonce. */
  HELLO(1),
  /** Proof that the sender knows the secret. */
  PROOF(2),
  /** A control message. */
  CONTROL(3),
  /** Opens a stream with a call. */
  CALL(4),
  /** Head of the answer on a stream. */
  ANSWER(5),
  /** Ends a stream without an answer. */
  REFUSAL(6),
  /** Part of a body. */
  DATA(7),
  /** Lets the other side send more bytes of a body. */
  CREDIT(8),
  /** Ends a body; its number is the body's length. */
  END(9),
  /** Ends a stream at once. */
  RESET(10),
  /** Shows that the sender lives. */
  PING(11),
  /** Head and body of a short answer in one; its number is the length of the head. */
  WHOLE_ANSWER(12);

  private static final FrameType[] ALL = values();

  private final int number;

  FrameType(int number) {
    this.number = number;
  }

  /** Returns the number on the wire. */
  int number() {
    return number;
  }

  static Optional<FrameType> of(int number) {
    return number >= 1 && number <= ALL.length ? Optional.of(ALL[number - 1]) : Optional.empty();
  }
}
