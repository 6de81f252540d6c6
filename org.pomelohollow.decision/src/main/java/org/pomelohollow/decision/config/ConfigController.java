package org.pomelohollow.decision.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Effects;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.ApiKeyEntry;
import org.pomelohollow.document.Document;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;

/**
 * Keeps the newest accepted configuration in force. It comes from the fold of the log or from a
 * peer, whichever is first; an older version never replaces a newer one.
 */
public final class ConfigController implements Controller {
  private static final String PART = "config";

  /** Append identifiers of this controller start here, apart from those of others. */
  private static final long FIRST_APPEND_ID = 0x636F_0000_0000_0000L;

  /** Time for which the log may end before the next offset until the fold starts anew. */
  private static final long SHORT_LOG_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final long TRANSFER_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final int TRANSFERS_PER_PERIOD = 8;

  private final Effects effects;
  private final DocumentFormat format;
  private final ConfigFold fold;
  private final PeerFetch fetch = new PeerFetch();
  private final CheckpointSchedule checkpoints = new CheckpointSchedule();
  private final Freshness freshness = new Freshness();
  private ConfigState best = ConfigState.GENESIS;
  private Optional<VersionedDocument> inForce = Optional.empty();
  private Set<String> keyDigests = Set.of();
  private Optional<Roster> roster = Optional.empty();
  private long newestHeard;
  private long unreadableVersion;
  private long nextAppendId = FIRST_APPEND_ID;
  private boolean logTooShort;
  private long logTooShortSinceNanos;
  private long transferPeriodNanos;
  private int transfers;
  private long now;

  /**
   * Creates a controller without a configuration.
   *
   * @param effects takes what the controller asks for
   */
  public ConfigController(Effects effects) {
    this(effects, DocumentFormat.TOML);
  }

  /**
   * Creates a controller without a configuration.
   *
   * @param effects takes what the controller asks for
   * @param format format of the documents
   */
  public ConfigController(Effects effects, DocumentFormat format) {
    this.effects = effects;
    this.format = format;
    this.fold = new ConfigFold(new Decisions());
  }

  /** Returns the configuration in force, if any has been accepted. */
  public Optional<VersionedDocument> inForce() {
    return inForce;
  }

  /** Returns the version in force, 0 if none. */
  public long version() {
    return best.version();
  }

  /**
   * Learns the version of a peer and fetches its document if it is newer.
   *
   * @param peer the peer
   * @param version its version
   */
  public void hearVersion(MemberId peer, long version) {
    newestHeard = Math.max(newestHeard, version);
    if (version >= version()) {
      fetch.hear(peer, version);
      fetchIfNeeded();
    }
  }

  /**
   * Learns how old the knowledge of a peer is. Call it after {@link #hearVersion}.
   *
   * @param peer the peer
   * @param version its version
   * @param ageMillis age of its knowledge, as from {@link #freshnessAgeMillis}
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void hearFreshness(MemberId peer, long version, long ageMillis, long nowNanos) {
    if (version <= version() && version() >= newestHeard && ageMillis >= 0) {
      long age = Math.min(ageMillis, TimeUnit.DAYS.toMillis(1));
      freshness.confirm(nowNanos - TimeUnit.MILLISECONDS.toNanos(age), nowNanos);
    }
  }

  /**
   * Returns the age of this daemon's knowledge of the configuration, for its heartbeats.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds since the version in force was last known to be the newest
   */
  public long freshnessAgeMillis(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(freshness.ageNanos(nowNanos));
  }

  /**
   * Tells whether this daemon may have missed the withdrawal of a key for too long. It then refuses
   * requests that need a key.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if neither the log nor enough peers have been reachable, or after a long pause
   */
  public boolean isStale(long nowNanos) {
    return freshness.isStale(nowNanos);
  }

  /**
   * Tells whether a key is still in force, for requests that wait since before a change.
   *
   * @param digest digest of the key, as it stands in the document
   * @return true if the document in force has the key
   */
  public boolean isKeyInForce(String digest) {
    return keyDigests.contains(digest);
  }

  @Override
  public void handle(Event event, long nowNanos) {
    now = nowNanos;
    if (event instanceof Event.Tick) {
      freshness.tick(nowNanos);
      fetchIfNeeded();
    } else if (event instanceof Event.LogRead r && r.stream() == LogStream.CONFIG) {
      read(r);
    } else if (event instanceof Event.DocumentPublished p) {
      published(p);
    } else if (event instanceof Event.MessageReceived m) {
      receive(m);
    } else if (event instanceof Event.LinkLost l) {
      fetch.forget(l.peer());
    } else if (event instanceof Event.RosterChanged c) {
      roster = Optional.of(c.roster());
      freshness.setLiveMembers(c.roster().members().size());
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("version", version())
        .line("change", inForce.map(VersionedDocument::changeId).orElse("none"))
        .line("fold", fold.state().isPresent() ? "complete" : "looks for a checkpoint")
        .line("next offset", fold.nextOffset())
        .line("newest checkpoint at", checkpoints.newestOffset())
        .line("newest version heard", newestHeard)
        .line("knowledge age in ms", freshnessAgeMillis(nowNanos))
        .line("stale", isStale(nowNanos))
        .build();
  }

  private void read(Event.LogRead r) {
    boolean had = fold.state().isPresent();
    fold.read(r);
    keepState();
    if (had && fold.state().isEmpty()) {
      note(true, "records before offset " + r.oldestOffset() + " expired unread");
    }
    checkEnd(r);
    if (fold.nextOffset() != naturalNext(r)) {
      effects.emit(new Effect.ReadFrom(LogStream.CONFIG, fold.nextOffset()));
    }
    if (isCaughtUp(r)) {
      freshness.confirm(now, now);
      appendCheckpoint(r);
    }
    fetchIfNeeded();
  }

  private boolean isCaughtUp(Event.LogRead r) {
    return fold.state().filter(s -> s.version() == version()).isPresent()
        && fold.nextOffset() == r.endOffset()
        && version() >= newestHeard;
  }

  private static long naturalNext(Event.LogRead r) {
    int n = r.entries().size();
    return n == 0 ? r.fromOffset() : r.entries().get(n - 1).offset() + 1;
  }

  /** Keeps the state of the fold unless a peer's is newer. */
  private void keepState() {
    fold.state()
        .filter(s -> s.version() >= best.version() && s.nextOffset() > best.nextOffset())
        .ifPresent(s -> best = s);
  }

  /** Handles a log that ends before what was read: out of date for a while, or replaced. */
  private void checkEnd(Event.LogRead r) {
    if (r.endOffset() >= best.nextOffset()) {
      logTooShort = false;
      if (fold.state().isEmpty() && r.oldestOffset() <= best.nextOffset()) {
        fold.adopt(best);
      }
    } else if (!logTooShort) {
      logTooShort = true;
      logTooShortSinceNanos = now;
    } else if (fold.state().isPresent() && now - logTooShortSinceNanos >= SHORT_LOG_NANOS) {
      note(true, "log ends at " + r.endOffset() + ", before " + best.nextOffset() + "; rereading");
      fold.search(r.oldestOffset());
    }
  }

  private void appendCheckpoint(Event.LogRead r) {
    boolean turn = roster.isPresent() && checkpoints.takeTurn(r, roster.get(), now);
    if (turn && best.version() > 0) {
      effects.emit(new Effect.Append(nextAppendId++, LogStream.CONFIG, new ConfigCheckpoint(best)));
    }
  }

  private void fetchIfNeeded() {
    boolean searching = fold.state().isEmpty();
    long least = Math.max(searching ? version() : version() + 1, unreadableVersion + 1);
    long beyond = searching ? fold.searchStart() - 1 : Long.MAX_VALUE;
    fetch
        .next(least, now)
        .ifPresent(p -> effects.emit(new Effect.Send(p, new ConfigFetch(version(), beyond))));
  }

  /** Takes a whole document from operators who order their versions themselves. */
  private void published(Event.DocumentPublished p) {
    take(new ConfigState(p.version(), p.text(), List.of("v" + p.version()), 0));
    if (p.version() >= newestHeard) {
      freshness.confirm(now, now);
    }
  }

  private void receive(Event.MessageReceived m) {
    if (m.message() instanceof ConfigFetch f) {
      answer(m.from(), f);
    } else if (m.message() instanceof ConfigTransfer t) {
      fetch.answered(m.from());
      take(t.state());
    }
  }

  private void answer(MemberId peer, ConfigFetch f) {
    boolean useful =
        version() > f.haveVersion()
            || (version() == f.haveVersion() && best.nextOffset() > f.beyondOffset());
    if (!useful || version() == 0) {
      return;
    }
    if (now - transferPeriodNanos >= TRANSFER_PERIOD_NANOS) {
      transferPeriodNanos = now;
      transfers = 0;
    }
    if (transfers < TRANSFERS_PER_PERIOD) {
      transfers++;
      effects.emit(new Effect.Send(peer, new ConfigTransfer(best)));
    }
  }

  private void take(ConfigState s) {
    if (s.version() > version()) {
      Optional<Document> d = format.read(s.text());
      if (d.isEmpty()) {
        unreadableVersion = Math.max(unreadableVersion, s.version());
        note(true, "version " + s.version() + " cannot be read by this release");
        return;
      }
      best = s;
      fold.adopt(s);
      putInForce(s, d.get());
    } else if (s.version() == version() && continuesSearch(s)) {
      best = s;
      fold.adopt(s);
    } else {
      return;
    }
    effects.emit(new Effect.ReadFrom(LogStream.CONFIG, fold.nextOffset()));
  }

  private boolean continuesSearch(ConfigState s) {
    return fold.state().isEmpty() && s.nextOffset() >= fold.searchStart();
  }

  private void putInForce(ConfigState s, Document d) {
    VersionedDocument v = new VersionedDocument(s.version(), s.changeId(), s.text(), d);
    inForce = Optional.of(v);
    keyDigests = d.apiKeys().stream().map(ApiKeyEntry::digest).collect(Collectors.toUnmodifiableSet());
    note(false, "version " + s.version() + " is in force");
    effects.emit(new Effect.Raise(new Event.ConfigInForce(v)));
  }

  private void note(boolean warning, String text) {
    effects.emit(new Effect.Note(PART, warning, text));
  }

  /** Reacts to the decisions of the fold. */
  private final class Decisions implements ConfigFoldListener {
    @Override
    public void accepted(ConfigState s, Document d) {
      if (s.version() > version()) {
        best = s;
        putInForce(s, d);
      }
    }

    @Override
    public void rejected(String changeId, ErrorCode code, ConfigState current) {
      note(false, code.id() + " change " + changeId + " met version " + current.version());
    }

    @Override
    public void checkpoint(ConfigState s) {
      checkpoints.saw(s.nextOffset(), now);
    }
  }
}
