package org.pomelohollow.decision;

import org.pomelohollow.decision.rollout.RolloutStatus;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;

/** A side effect that a controller requests from the surrounding process. */
public sealed interface Effect {
  /**
   * Sends a message to a peer at most once: it may be lost and is never resent.
   *
   * @param to the receiver
   * @param message the message
   */
  record Send(MemberId to, PeerMessage message) implements Effect {}

  /**
   * Sends a message to the address of a peer whose member identifier is not known yet.
   *
   * @param to address at which the peer accepts peer links
   * @param message the message
   */
  record SendToAddress(Endpoint to, PeerMessage message) implements Effect {}

  /**
   * Appends an entry to a stream of the log. {@link Event.AppendCompleted} reports the outcome.
   *
   * @param appendId identifier chosen by the controller, unique in this process
   * @param stream the stream
   * @param entry the entry
   */
  record Append(long appendId, LogStream stream, LogEntry entry) implements Effect {}

  /**
   * Sets the offset at which the next read of a stream starts.
   *
   * @param stream the stream
   * @param offset first offset to read
   */
  record SeekStream(LogStream stream, long offset) implements Effect {}

  /**
   * Asks the store of the operators' documents for a newer one, by a read that does not depend on
   * any open connection. {@link Event.DocumentConfirmed} or {@link Event.DocumentPublished} reports
   * the outcome, nothing a failure.
   */
  record ConfirmDocument() implements Effect {}

  /**
   * Reads the states of roll-outs from the store. {@link Event.RolloutStatusRead} reports them,
   * nothing a failure.
   */
  record ReadRolloutStatus() implements Effect {}

  /**
   * Writes the state of a roll-out to the store unless it has one of the same order that is final,
   * or any one if this one is not final. {@link Event.RolloutStatusRead} reports what the store has
   * then, nothing a failure, after which it is unknown whether the state was written.
   *
   * @param status the state
   */
  record WriteRolloutStatus(RolloutStatus status) implements Effect {}

  /**
   * Dispatches an event to all controllers of this daemon.
   *
   * @param event the event
   */
  record RaiseEvent(Event event) implements Effect {}

  /**
   * Writes a log line.
   *
   * @param prefix fixed prefix of the line that names the reporting component
   * @param warning whether the line needs an operator's attention and is logged as a warning
   * @param message text of the line, one short sentence
   */
  record LogLine(String prefix, boolean warning, String message) implements Effect {}
}
