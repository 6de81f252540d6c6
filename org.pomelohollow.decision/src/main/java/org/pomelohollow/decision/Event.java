package org.pomelohollow.decision;

import java.util.List;
import org.pomelohollow.decision.config.VersionedDocument;
import org.pomelohollow.decision.rollout.RolloutStatus;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ServiceId;

/** An input to the controllers of a daemon. */
public sealed interface Event {
  /** Time has passed. Occurs about every 50 ms, later if the process was paused. */
  record Tick() implements Event {}

  /**
   * A peer sent a message.
   *
   * @param from the sender, authenticated by the peer link
   * @param message the message
   */
  record MessageReceived(MemberId from, PeerMessage message) implements Event {}

  /**
   * A peer link was established.
   *
   * @param peer the peer
   */
  record LinkUp(MemberId peer) implements Event {}

  /**
   * The last link to a peer was closed, or an attempt to connect to the peer failed.
   *
   * @param peer the peer
   */
  record LinkLost(MemberId peer) implements Event {}

  /**
   * A read of a stream succeeded.
   *
   * @param stream the stream
   * @param fromOffset requested offset
   * @param entries entries in log order, possibly none
   * @param oldestOffset oldest offset that is still retained
   * @param endOffset offset of the next entry to be appended
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
  record LogReadFailed(LogStream stream) implements Event {}

  /**
   * The log came back from a copy: the newest entries are lost, and their offsets are given out
   * again.
   */
  record LogRestored() implements Event {}

  /**
   * An append to the log completed.
   *
   * @param appendId identifier given in {@link Effect.Append}
   * @param outcome whether the entry was appended, as far as is known
   */
  record AppendCompleted(long appendId, AppendOutcome outcome) implements Event {}

  /**
   * A complete operators' document was read from a store that keeps only the newest one.
   *
   * @param version version of the document, from 1; increases with each document
   * @param changeId the same version in a form for operators
   * @param text text of the document
   */
  record DocumentPublished(long version, String changeId, String text) implements Event {}

  /**
   * A read showed that the store holds no newer document than one that was published before.
   *
   * @param version version of that document
   * @param askedNanos monotonic time at which the read was sent, in nanoseconds
   */
  record DocumentConfirmed(long version, long askedNanos) implements Event {}

  /**
   * A configuration has become active at this daemon.
   *
   * @param configuration the configuration
   */
  record ConfigActivated(VersionedDocument configuration) implements Event {}

  /**
   * The set of live members or the state of their targets has changed.
   *
   * @param roster the new membership view
   */
  record RosterChanged(Roster roster) implements Event {}

  /**
   * The target announced itself, or renewed its announcement by a heartbeat.
   *
   * @param announcement content of the announcement
   */
  record TargetAnnounced(TargetAnnouncement announcement) implements Event {}

  /** What the target says of itself in its responses has changed. */
  record TargetNoticeChanged() implements Event {}

  /** The target has withdrawn and gets no new requests. */
  record TargetWithdrawn() implements Event {}

  /**
   * The target stopped announcing itself, or the connections to it broke.
   *
   * @param service the target's service
   */
  record TargetLost(ServiceId service) implements Event {}

  /**
   * The process was paused and runs again. This is the first event after the pause. State from
   * before the pause may be out of date, and messages queued during the pause are old.
   *
   * @param pauseNanos length of the pause, in nanoseconds
   */
  record ProcessResumed(long pauseNanos) implements Event {}

  /**
   * The states of roll-outs were read from the store, or one was written to it.
   *
   * @param all the newest state of each service
   */
  record RolloutStatusRead(List<RolloutStatus> all) implements Event {
    /** Copies the list. */
    public RolloutStatusRead {
      all = List.copyOf(all);
    }
  }

  /** A graceful shutdown of the daemon was requested. */
  record ShutdownRequested() implements Event {}

  /** Outcome of an append. */
  enum AppendOutcome {
    /** The entry is in the stream. */
    APPENDED,
    /** The entry is not in the stream. */
    FAILED,
    /** The reply was lost; the entry may or may not be in the stream. */
    UNKNOWN
  }
}
