package org.pomelohollow.decision.config;

import java.util.Optional;
import org.pomelohollow.decision.Controller;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Effects;
import org.pomelohollow.decision.Event;
import org.pomelohollow.decision.StateDump;
import org.pomelohollow.document.Document;
import org.pomelohollow.document.DocumentReader;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.MemberId;

/** Folds the configuration stream and takes newer versions from peers. */
public final class ConfigController implements Controller {
  private static final String PART = "config";

  private final Effects effects;
  private Optional<VersionedDocument> inForce = Optional.empty();
  private long nextOffset;

  /**
   * Creates a controller without a configuration.
   *
   * @param effects takes what the controller asks for
   */
  public ConfigController(Effects effects) {
    this.effects = effects;
  }

  /** Returns the configuration in force, if any has been accepted. */
  public Optional<VersionedDocument> inForce() {
    return inForce;
  }

  /** Returns the version in force, 0 if none. */
  public long version() {
    return inForce.map(VersionedDocument::version).orElse(0L);
  }

  /**
   * Learns the version of a peer and fetches its document if it is newer.
   *
   * @param peer the peer
   * @param version its version
   */
  public void hearVersion(MemberId peer, long version) {
    if (version > version()) {
      effects.emit(new Effect.Send(peer, new ConfigFetch(version())));
    }
  }

  @Override
  public void handle(Event event, long nowNanos) {
    if (event instanceof Event.LogRead r && r.stream() == LogStream.CONFIG) {
      r.entries().forEach(this::fold);
    } else if (event instanceof Event.MessageReceived m) {
      receive(m);
    }
  }

  @Override
  public StateDump dump(long nowNanos) {
    return StateDump.of(PART)
        .line("version", version())
        .line("change", inForce.map(VersionedDocument::changeId).orElse("none"))
        .line("next offset", nextOffset)
        .build();
  }

  private void receive(Event.MessageReceived m) {
    if (m.message() instanceof ConfigFetch f && version() > f.haveVersion()) {
      VersionedDocument d = inForce.orElseThrow();
      effects.emit(
          new Effect.Send(
              m.from(), new ConfigTransfer(d.version(), d.changeId(), d.text(), nextOffset)));
    } else if (m.message() instanceof ConfigTransfer t && t.version() > version()) {
      nextOffset = Math.max(nextOffset, t.nextOffset());
      accept(t.version(), t.changeId(), t.text());
    }
  }

  private void fold(StoredEntry stored) {
    if (stored.offset() < nextOffset) {
      return;
    }
    nextOffset = stored.offset() + 1;
    if (stored.entry().orElse(null) instanceof ConfigProposal p && p.baseVersion() == version()) {
      accept(p.baseVersion() + 1, p.changeId(), p.text());
    }
  }

  private void accept(long version, String changeId, String text) {
    Optional<Document> d = DocumentReader.read("document", text).value();
    if (d.isEmpty()) {
      return;
    }
    VersionedDocument v = new VersionedDocument(version, changeId, text, d.get());
    inForce = Optional.of(v);
    effects.emit(new Effect.Note(PART, false, "version " + version + " is in force"));
    effects.emit(new Effect.Raise(new Event.ConfigInForce(v)));
  }
}
