package org.pomelohollow.decision.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.pomelohollow.decision.Effect;
import org.pomelohollow.decision.Event;
import org.pomelohollow.junit.ManualClock;
import org.pomelohollow.message.LogEntry;
import org.pomelohollow.message.LogStream;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.message.StoredEntry;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.Roster;
import org.pomelohollow.model.ZoneId;

/**
 * Random simulation of daemons that fold the configuration stream: entries of the log expire, reads
 * return out-of-date or arbitrary parts, daemons restart, and messages are lost, repeated and
 * reordered. Every version that a daemon activates is compared with a reference fold.
 */
final class ConfigFoldSimulation {
  private static final int DAEMONS = 4;

  private final Random random;
  private final ManualClock clock = new ManualClock();
  private final List<LogEntry> log = new ArrayList<>();
  private final List<Message> messagesInFlight = new ArrayList<>();
  private final List<LogEntry> pendingAppends = new ArrayList<>();
  private final Daemon[] daemons = new Daemon[DAEMONS];
  private final ReferenceFold reference = new ReferenceFold();
  private int oldestOffset;
  private int incarnations;

  ConfigFoldSimulation(Random random) {
    this.random = random;
    for (int i = 0; i < DAEMONS; i++) {
      restart(i);
    }
  }

  /** Performs one random step. */
  void step() {
    int i = random.nextInt(DAEMONS);
    switch (random.nextInt(40)) {
      case 0, 1, 2 -> propose();
      case 3 -> oldestOffset += random.nextInt(Math.min(log.size() - oldestOffset, 6) + 1);
      case 4 -> restart(i);
      case 5, 6, 7 -> readArbitrarily(daemons[i]);
      case 8, 9, 10 -> gossip(daemons[i], daemons[random.nextInt(DAEMONS)]);
      case 11, 12, 13, 14, 15, 16 -> deliver();
      case 17, 18, 19 -> appendCheckpoint();
      case 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30 ->
          daemons[i].read(daemons[i].nextOffset, log.size(), oldestOffset, 1 + random.nextInt(4));
      default -> {
        clock.advance(Duration.ofMillis(random.nextInt(90_000)));
        daemons[i].handle(new Event.Tick());
      }
    }
  }

  /** Runs without faults for two minutes of simulated time, and checks that all daemons agree. */
  void converge() {
    for (int round = 0; round < 60; round++) {
      clock.advance(Duration.ofSeconds(2));
      for (Daemon a : daemons) {
        a.handle(new Event.Tick());
        a.read(a.nextOffset, log.size(), oldestOffset, 100);
        for (Daemon b : daemons) {
          gossip(a, b);
        }
      }
      while (!messagesInFlight.isEmpty()) {
        deliver(messagesInFlight.remove(0));
      }
      pendingAppends.forEach(this::append);
      pendingAppends.clear();
    }
    for (Daemon d : daemons) {
      assertEquals(daemons[0].controller.version(), d.controller.version());
      assertTrue(d.controller.version() <= reference.version());
      if (d.isComplete()) {
        assertEquals(reference.version(), d.controller.version());
      }
    }
  }

  /** Returns whether the fold of any daemon has a state. */
  boolean isAnyFoldComplete() {
    for (Daemon d : daemons) {
      if (d.isComplete()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the newest accepted version. */
  long version() {
    return reference.version();
  }

  private void propose() {
    String id = "c" + (random.nextInt(4) == 0 ? random.nextInt(20) : log.size() + 100);
    long base = random.nextInt(3) > 0 ? reference.version() : random.nextInt(8);
    boolean valid = random.nextInt(6) > 0;
    append(new ConfigProposal(id, base, valid ? text(id + "-" + log.size()) : "broken = ["));
  }

  private static String text(String name) {
    return "name = \"" + name + "\"\npriorities = [\"high\"]\n[zones.a]\n";
  }

  private void append(LogEntry e) {
    log.add(e);
    reference.apply(e);
  }

  /** Delivers a read with a random end, oldest offset, start and number of entries. */
  private void readArbitrarily(Daemon d) {
    int end = random.nextInt(log.size() + 1);
    int oldest = Math.min(end, random.nextInt(oldestOffset + 1));
    long from = random.nextBoolean() ? d.nextOffset : random.nextInt(log.size() + 2);
    d.read(from, end, oldest, random.nextInt(5));
  }

  private void gossip(Daemon a, Daemon b) {
    if (a != b) {
      a.controller.observePeerVersion(b.id, b.controller.version());
      a.carryOutEffects();
    }
  }

  private void deliver() {
    if (!messagesInFlight.isEmpty()) {
      Message m = messagesInFlight.get(random.nextInt(messagesInFlight.size()));
      if (random.nextInt(4) > 0) {
        deliver(m);
      }
      if (random.nextInt(4) > 0) {
        messagesInFlight.remove(m);
      }
    }
  }

  private void deliver(Message m) {
    for (Daemon d : daemons) {
      if (d.id.equals(m.to)) {
        d.handle(new Event.MessageReceived(m.from, m.message));
      }
    }
  }

  private void appendCheckpoint() {
    if (!pendingAppends.isEmpty()) {
      LogEntry e = pendingAppends.get(random.nextInt(pendingAppends.size()));
      append(e);
      if (random.nextBoolean()) {
        pendingAppends.remove(e);
      }
    }
  }

  private void restart(int i) {
    daemons[i] = new Daemon(new MemberId("h" + i, ++incarnations));
    List<Member> live = new ArrayList<>();
    for (Daemon d : daemons) {
      if (d != null) {
        Endpoint at = new Endpoint("127.0.0.1", 1);
        live.add(new Member(d.id, at, new ZoneId("a"), Optional.empty(), false));
      }
    }
    for (Daemon d : daemons) {
      if (d != null) {
        d.handle(new Event.RosterChanged(Roster.of(d.id, live)));
      }
    }
  }

  private record Message(MemberId from, MemberId to, PeerMessage message) {}

  /** Reference: a plain second implementation of the fold, over all entries ever appended. */
  private static final class ReferenceFold {
    private final List<String> texts = new ArrayList<>();
    private final Set<String> changeIds = new HashSet<>();

    void apply(LogEntry e) {
      if (e instanceof ConfigProposal p
          && p.baseVersion() == version()
          && !p.text().startsWith("broken")
          && changeIds.add(p.changeId())) {
        texts.add(p.text());
      }
    }

    long version() {
      return texts.size();
    }
  }

  /** A daemon, with its position in the log. */
  private final class Daemon {
    private final MemberId id;
    private final List<Effect> effects = new ArrayList<>();
    private final ConfigController controller = new ConfigController(effects::add);
    private long nextOffset;
    private long activeVersion;

    Daemon(MemberId id) {
      this.id = id;
    }

    void handle(Event e) {
      controller.handle(e, clock.getAsLong());
      carryOutEffects();
    }

    void read(long from, int end, int oldest, int maxEntries) {
      List<StoredEntry> entries = new ArrayList<>();
      for (long o = Math.max(from, oldest); o < end && entries.size() < maxEntries; o++) {
        entries.add(new StoredEntry(o, Optional.of(log.get((int) o))));
      }
      if (!entries.isEmpty()) {
        nextOffset = entries.get(entries.size() - 1).offset() + 1;
      }
      handle(new Event.LogRead(LogStream.CONFIG, from, entries, oldest, end));
    }

    boolean isComplete() {
      return controller.dump(clock.getAsLong()).lines().stream()
          .anyMatch(l -> l.name().equals("fold") && l.value().equals("complete"));
    }

    /** Carries out the effects of the controller. */
    private void carryOutEffects() {
      for (Effect e : effects) {
        if (e instanceof Effect.Send s) {
          messagesInFlight.add(new Message(id, s.to(), s.message()));
        } else if (e instanceof Effect.SeekStream r) {
          nextOffset = r.offset();
        } else if (e instanceof Effect.Append a) {
          pendingAppends.add(a.entry());
        } else if (e instanceof Effect.RaiseEvent r
            && r.event() instanceof Event.ConfigActivated c) {
          checkActivated(c.configuration());
        }
      }
      effects.clear();
    }

    /** Checks that an activated version is newer than the one before, and as in the reference. */
    private void checkActivated(VersionedDocument v) {
      assertTrue(v.version() > activeVersion, "version " + v.version() + " after " + activeVersion);
      activeVersion = v.version();
      assertTrue(
          activeVersion <= reference.version(), "version " + activeVersion + " was never accepted");
      assertEquals(reference.texts.get((int) activeVersion - 1), v.text());
    }
  }
}
