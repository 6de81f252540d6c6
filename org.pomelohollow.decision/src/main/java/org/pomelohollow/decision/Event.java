package org.pomelohollow.decision;

import java.util.List;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;

/** What controllers react to. */
public sealed interface Event {
  /** Time has passed. Comes about every 50 ms, later after a pause of the process. */
  record Tick() implements Event {}

  /**
   * A peer sent a message.
   *
   * @param from sender, authenticated by the link
   * @param message the message
   */
  record MessageReceived(MemberId from, PeerMessage message) implements Event {}

  /**
   * A link to a peer is up.
   *
   * @param peer the peer
   */
  record LinkUp(MemberId peer) implements Event {}

  /**
   * The last link to a peer is gone, or a connection attempt failed.
   *
   * @param peer the peer
   */
  record LinkLost(MemberId peer) implements Event {}

  /**
   * A read of a stream succeeded.
   *
   * @param stream the stream
   * @param fromOffset offset that was asked for
   * @param entries entries in the order of the log, possibly none
   * @param oldestOffset oldest offset that the platform retains
   * @param endOffset offset that the next append gets
   */
  record LogRead(
      LogStream stream,
      long fromOffset,
      List<StoredEntry> entries,
      long oldestOffset,
      long endOffset)
      implements Event {
    /** Copies the list. */
    public LogRead {
      entries = List.copyOf(entries);
    }
  }

  /**
   * A read of a stream failed or timed out.
   *
   * @param stream the stream
   */
  record LogUnreachable(LogStream stream) implements Event {}

  /**
   * An append ended.
   *
   * @param appendId identifier from {@link Effect.Append}
   * @param outcome what is known of it
   */
  record AppendEnded(long appendId, AppendOutcome outcome) implements Event {}

  /**
   * The operators' whole document was read from a place that keeps only the newest one.
   *
   * @param version rises from one to the next, from 1
   * @param text the document
   */
  record DocumentPublished(long version, String text) implements Event {}

  /**
   * A configuration is in force at this daemon.
   *
   * @param configuration the configuration
   */
  record ConfigInForce(VersionedDocument configuration) implements Event {}

  /**
   * The live members or their targets have changed.
   *
   * @param roster the new view
   */
  record RosterChanged(Roster roster) implements Event {}

  /**
   * The target announced itself, or repeated its announcement.
   *
   * @param announcement what it said
   */
  record TargetAnnounced(TargetAnnouncement announcement) implements Event {}

  /** The target has withdrawn and gets no new work. */
  record TargetWithdrawn() implements Event {}

  /**
   * The target stopped announcing itself, or its connections broke.
   *
   * @param service its service
   */
  record TargetLost(ServiceId service) implements Event {}

  /**
   * The process was paused. Comes before any other event after the pause; what was believed before
   * it may be out of date, and messages that waited in the meantime are old.
   *
   * @param gapNanos length of the pause, in nanoseconds
   */
  record Resumed(long gapNanos) implements Event {}

  /** The daemon was asked to stop gracefully. */
  record Stopping() implements Event {}

  /** Outcome of an append. */
  enum AppendOutcome {
    /** The record is in the stream. */
    APPENDED,
    /** The record is not in the stream. */
    FAILED,
    /** The answer was lost; the record may be in the stream. */
    UNKNOWN
  }
}
