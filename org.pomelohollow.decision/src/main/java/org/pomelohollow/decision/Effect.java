package org.pomelohollow.decision;

import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.MemberId;

/** What controllers ask of the process around them. */
public sealed interface Effect {
  /**
   * Sends a message to a peer, best effort: it may be lost, never repeated.
   *
   * @param to receiver
   * @param message the message
   */
  record Send(MemberId to, PeerMessage message) implements Effect {}

  /**
   * Sends a message to an address whose member is not known yet.
   *
   * @param to address of a peer link
   * @param message the message
   */
  record SendToAddress(Endpoint to, PeerMessage message) implements Effect {}

  /**
   * Appends an entry. Its end is told by {@link Event.AppendEnded}.
   *
   * @param appendId identifier chosen by the controller, unique in this process
   * @param stream the stream
   * @param entry the entry
   */
  record Append(long appendId, LogStream stream, LogEntry entry) implements Effect {}

  /**
   * Asks for the next read of a stream to start at an offset.
   *
   * @param stream the stream
   * @param offset first offset to read
   */
  record ReadFrom(LogStream stream, long offset) implements Effect {}

  /**
   * Hands an event to all controllers of this daemon.
   *
   * @param event the event
   */
  record Raise(Event event) implements Effect {}

  /**
   * Writes a log line.
   *
   * @param part fixed prefix of the part that speaks
   * @param warning whether an operator should look
   * @param message short sentence
   */
  record Note(String part, boolean warning, String message) implements Effect {}
}
