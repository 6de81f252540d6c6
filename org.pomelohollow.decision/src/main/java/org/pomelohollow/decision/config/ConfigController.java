package org.pomelohollow.decision.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.EffectSink;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.ApiKeyEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Keeps the newest accepted configuration active. A version comes from the fold of the log, from a
 * peer or from an operators' document, whichever is first; an older version never replaces a newer
 * one.
 */
public final class ConfigController implements Controller {
  private static final String PART = "config";

  /** First append identifier of this controller, apart from those of other controllers. */
  private static final long FIRST_APPEND_ID = 0x636F_0000_0000_0000L;

  /** Time after which the fold rereads a log that ends before the offset already read. */
  private static final long SHORT_LOG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long TRANSFER_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int MAX_TRANSFERS_PER_PERIOD = 8;

  private final EffectSink effects;
  private final DocumentFormat format;
  private final ConfigFold fold;
  private final PeerFetch fetch = new PeerFetch();
  private final CheckpointSchedule checkpointSchedule = new CheckpointSchedule();
  private final Freshness freshness = new Freshness();
  private final ConfirmationSchedule confirmations = new ConfirmationSchedule();

  /** State of the active version, or the initial state. */
  private ConfigState activeState = ConfigState.INITIAL;

  private Optional<VersionedDocument> active = Optional.empty();
  private Set<String> keyDigests = Set.of();
  private Optional<Roster> roster = Optional.empty();
  private long newestPeerVersion;

  /** Newest version that operators published and this daemon read itself, 0 if none. */
  private long publishedVersion;

  /** Newest version that this release cannot read, 0 if none. */
  private long unreadableVersion;

  private long confirmationCount;
  private long nextAppendId = FIRST_APPEND_ID;
  private boolean logTooShort;
  private long logTooShortSinceNanos;
  private long transferPeriodStartNanos;
  private int transfersInPeriod;

  /** Monotonic time of the last event, in nanoseconds. */
  private long lastEventNanos;

  /**
   * Creates a controller without a configuration.
   *
   * @param effects receives the effects that the controller emits
   */
  public ConfigController(EffectSink effects) {
    this(effects, DocumentFormat.TOML);
  }

  /**
   * Creates a controller without a configuration.
   *
   * @param effects receives the effects that the controller emits
   * @param format format of the documents
   */
  public ConfigController(EffectSink effects, DocumentFormat format) {
    this.effects = effects;
    this.format = format;
    this.fold = new ConfigFold(new FoldListener());
  }

  /** Returns the active configuration, empty if none has been accepted yet. */
  public Optional<VersionedDocument> active() {
    return active;
  }

  /** Returns the active version, 0 if none. */
  public long version() {
    return activeState.version();
  }

  /**
   * Records the version of a peer. Fetches a configuration from a peer if a newer one is known, or
   * while the fold searches for a state.
   *
   * @param peer the peer
   * @param version its version
   */
  public void observePeerVersion(MemberId peer, long version) {
    newestPeerVersion = Math.max(newestPeerVersion, version);
    if (version >= version()) {
      fetch.addCandidate(peer, version);
      fetchIfNeeded();
    }
  }

  /**
   * Records when a peer's version was last confirmed to be the newest. Must be called after {@link
   * #observePeerVersion}.
   *
   * @param peer the peer
   * @param version its version
   * @param ageMillis age of the peer's last confirmation, as from {@link #configAgeMillis}, in
   *     milliseconds; ignored if negative, and taken as at most one day
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void observePeerFreshness(MemberId peer, long version, long ageMillis, long nowNanos) {
    if (version <= version() && version() >= newestPeerVersion && ageMillis >= 0) {
      long age = Math.min(ageMillis, TimeUnit.DAYS.toMillis(1));
      freshness.confirm(nowNanos - TimeUnit.MILLISECONDS.toNanos(age), nowNanos);
    }
  }

  /**
   * Returns the time since the active version was last confirmed to be the newest, for heartbeats.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time in milliseconds
   */
  public long configAgeMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(freshness.ageNanos(nowNanos));
  }

  /** Returns how often this daemon has confirmed its version by a read of its own. */
  public long confirmationCount() {
    return confirmationCount;
  }

  /**
   * Returns whether this daemon may have missed the withdrawal of an API key for too long. Requests
   * that need an API key must then be refused.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if neither the log nor enough peers have been reachable, or after a long pause of
   *     the process
   */
  public boolean isStale(long nowNanos) {
    return freshness.isStale(nowNanos);
  }

  /**
   * Returns whether an API key is still valid, for requests that have waited since before a change
   * of the configuration.
   *
   * @param digest digest of the API key, in the form of the document
   * @return true if the active document has the API key
   */
  public boolean isKeyActive(String digest) {
    return keyDigests.contains(digest);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    lastEventNanos = nowNanos;
    if (event instanceof Event.Tick) {
      freshness.tick(nowNanos);
      fetchIfNeeded();
      confirmIfDue();
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.CONFIG) {
      applyRead(r);
    } else if (event instanceof Event.DocumentPublished p) {
      activatePublished(p);
    } else if (event instanceof Event.DocumentConfirmed c) {
      confirmPublished(c);
    } else if (event instanceof Event.MessageReceived m) {
      handleMessage(m);
    } else if (event instanceof Event.LinkLost l) {
      fetch.removePeer(l.peer());
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
      freshness.setLiveMembers(c.roster().members().size());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("version", version())
        .line("change", active.map(VersionedDocument::changeId).orElse("none"))
        .line("fold", fold.state().isPresent() ? "complete" : "looks for a checkpoint")
        .line("next offset", fold.nextOffset())
        .line("newest checkpoint at", checkpointSchedule.newestOffset())
        .line("newest version heard", newestPeerVersion)
        .line("newest version published", publishedVersion)
        .line("knowledge age in ms", configAgeMillis(nowNanos))
        .line("stale", isStale(nowNanos))
        .build();
  }

  private void applyRead(Event.LogRead r) {
    boolean hadState = fold.state().isPresent();
    fold.applyRead(r);
    adoptFoldState();
    if (hadState && fold.state().isEmpty()) {
      emitLogLine(
          true,
          "records before offset "
              + r.oldestOffset()
              + " expired unread; searching for a checkpoint");
    }
    checkLogEnd(r);
    if (fold.nextOffset() != offsetAfter(r)) {
      effects.emit(new Effect.SeekStream(LogStream.CONFIG, fold.nextOffset()));
    }
    if (isCaughtUp(r)) {
      freshness.confirm(lastEventNanos, lastEventNanos);
      appendCheckpoint(r);
    }
    fetchIfNeeded();
  }

  /** Returns whether a read shows that the active version is the newest. */
  private boolean isCaughtUp(Event.LogRead r) {
    return fold.state().filter(s -> s.version() == version()).isPresent()
        && fold.nextOffset() == r.endOffset()
        && version() >= newestPeerVersion;
  }

  /** Returns the offset at which reading continues by default after a read. */
  private static long offsetAfter(Event.LogRead r) {
    int count = r.entries().size();
    return count == 0 ? r.fromOffset() : r.entries().get(count - 1).offset() + 1;
  }

  /** Takes over the state of the fold, unless the state of a peer is newer. */
  private void adoptFoldState() {
    fold.state()
        .filter(
            s -> s.version() >= activeState.version() && s.nextOffset() > activeState.nextOffset())
        .ifPresent(s -> activeState = s);
  }

  /**
   * Handles a log that ends before the offset up to which it was read. Such a log is out of date
   * for a while, or has been replaced; after a timeout the fold reads it anew. If the log is long
   * enough but the fold has no state, the fold continues from the active state.
   */
  private void checkLogEnd(Event.LogRead r) {
    if (r.endOffset() >= activeState.nextOffset()) {
      logTooShort = false;
      if (fold.state().isEmpty() && r.oldestOffset() <= activeState.nextOffset()) {
        fold.adopt(activeState);
      }
    } else if (!logTooShort) {
      logTooShort = true;
      logTooShortSinceNanos = lastEventNanos;
    } else if (fold.state().isPresent()
        && lastEventNanos - logTooShortSinceNanos >= SHORT_LOG_TIMEOUT_NANOS) {
      emitLogLine(
          true,
          "log ends at offset "
              + r.endOffset()
              + ", before offset "
              + activeState.nextOffset()
              + "; rereading it from "
              + r.oldestOffset());
      fold.restartSearch(r.oldestOffset());
    }
  }

  private void appendCheckpoint(Event.LogRead r) {
    boolean due =
        roster.isPresent() && checkpointSchedule.startAppendIfDue(r, roster.get(), lastEventNanos);
    if (due && activeState.version() > 0) {
      effects.emit(
          new Effect.Append(nextAppendId++, LogStream.CONFIG, new ConfigCheckpoint(activeState)));
    }
  }

  private void fetchIfNeeded() {
    boolean searching = fold.state().isEmpty();
    long leastVersion = Math.max(searching ? version() : version() + 1, unreadableVersion + 1);
    long beyondOffset = searching ? fold.searchStartOffset() - 1 : Long.MAX_VALUE;
    fetch
        .choosePeer(leastVersion, lastEventNanos)
        .ifPresent(p -> effects.emit(new Effect.Send(p, new ConfigFetch(version(), beyondOffset))));
  }

  /** Activates a document of operators who assign the versions of their documents themselves. */
  private void activatePublished(Event.DocumentPublished p) {
    publishedVersion = Math.max(publishedVersion, p.version());
    adoptIfNewer(new ConfigState(p.version(), p.text(), List.of(p.changeId()), 0));
    if (p.version() >= newestPeerVersion) {
      freshness.confirm(lastEventNanos, lastEventNanos);
    }
  }

  private void confirmPublished(Event.DocumentConfirmed c) {
    if (c.version() == version() && version() >= newestPeerVersion) {
      freshness.confirm(c.askedNanos(), lastEventNanos);
      confirmationCount++;
    }
  }

  /** Asks the store if its documents are what this daemon follows, and its knowledge is old. */
  private void confirmIfDue() {
    boolean behind = Math.max(version(), newestPeerVersion) > publishedVersion;
    if (publishedVersion > 0
        && roster.isPresent()
        && confirmations.startIfDue(
            roster.get(), freshness.ageNanos(lastEventNanos), behind, lastEventNanos)) {
      effects.emit(new Effect.ConfirmDocument());
    }
  }

  private void handleMessage(Event.MessageReceived m) {
    if (m.message() instanceof ConfigFetch f) {
      replyToFetch(m.from(), f);
    } else if (m.message() instanceof ConfigTransfer t) {
      fetch.recordReply(m.from());
      adoptIfNewer(t.state());
    }
  }

  /** Sends the active state if it is of use to the peer, within the limit on transfers. */
  private void replyToFetch(MemberId peer, ConfigFetch f) {
    boolean useful =
        version() > f.haveVersion()
            || (version() == f.haveVersion() && activeState.nextOffset() > f.beyondOffset());
    if (!useful || version() == 0) {
      return;
    }
    if (lastEventNanos - transferPeriodStartNanos >= TRANSFER_PERIOD_NANOS) {
      transferPeriodStartNanos = lastEventNanos;
      transfersInPeriod = 0;
    }
    if (transfersInPeriod < MAX_TRANSFERS_PER_PERIOD) {
      transfersInPeriod++;
      effects.emit(new Effect.Send(peer, new ConfigTransfer(activeState)));
    }
  }

  /**
   * Activates a state if its version is newer and can be read. Also adopts a state of the same
   * version from which the fold can continue while it searches for one.
   */
  private void adoptIfNewer(ConfigState s) {
    if (s.version() > version()) {
      Optional<Document> d = format.read(s.text());
      if (d.isEmpty()) {
        unreadableVersion = Math.max(unreadableVersion, s.version());
        emitLogLine(
            true,
            "version "
                + s.version()
                + " cannot be read by this release; version "
                + version()
                + " stays active");
        return;
      }
      activeState = s;
      fold.adopt(s);
      activate(s, d.get());
    } else if (s.version() == version() && endsSearch(s)) {
      activeState = s;
      fold.adopt(s);
    } else {
      return;
    }
    effects.emit(new Effect.SeekStream(LogStream.CONFIG, fold.nextOffset()));
  }

  /** Returns whether the fold, which searches for a state, can continue from a given one. */
  private boolean endsSearch(ConfigState s) {
    return fold.state().isEmpty() && s.nextOffset() >= fold.searchStartOffset();
  }

  private void activate(ConfigState s, Document d) {
    VersionedDocument v = new VersionedDocument(s.version(), s.changeId(), s.text(), d);
    active = Optional.of(v);
    keyDigests =
        d.apiKeys().stream().map(ApiKeyEntry::digest).collect(Collectors.toUnmodifiableSet());
    emitLogLine(false, "version " + s.version() + " is in force, change " + s.changeId());
    effects.emit(new Effect.RaiseEvent(new Event.ConfigActivated(v)));
  }

  private void emitLogLine(boolean warning, String text) {
    effects.emit(new Effect.LogLine(PART, warning, text));
  }

  /** Activates what the fold accepts, and logs what it rejects. */
  private final class FoldListener implements ConfigFoldListener {
    @Override
    public void onAccepted(ConfigState s, Document d) {
      if (s.version() > version()) {
        activeState = s;
        activate(s, d);
      }
    }

    @Override
    public void onRejected(String changeId, ErrorCode code, ConfigState current) {
      emitLogLine(
          false,
          code.id() + " change " + changeId + " is rejected at version " + current.version());
    }

    @Override
    public void onCheckpoint(ConfigState s) {
      checkpointSchedule.recordCheckpoint(s.nextOffset(), lastEventNanos);
    }
  }
}
