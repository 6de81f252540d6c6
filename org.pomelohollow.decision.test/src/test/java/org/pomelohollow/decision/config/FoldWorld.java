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
 * A log that expires and answers badly, daemons that are replaced, and links that lose messages.
 */
final class FoldWorld {
  private static final int DAEMONS = 4;

  private final Random random;
  private final ManualClock clock = new ManualClock();
  private final List<LogEntry> log = new ArrayList<>();
  private final List<Message> network = new ArrayList<>();
  private final List<LogEntry> appends = new ArrayList<>();
  private final Daemon[] daemons = new Daemon[DAEMONS];
  private final Truth truth = new Truth();
  private int oldest;
  private int runs;

  FoldWorld(Random random) {
    this.random = random;
    for (int i = 0; i < DAEMONS; i++) {
      replace(i);
    }
  }

  /** Does one random thing. */
  void step() {
    int i = random.nextInt(DAEMONS);
    switch (random.nextInt(40)) {
      case 0, 1, 2 -> propose();
      case 3 -> oldest += random.nextInt(Math.min(log.size() - oldest, 6) + 1);
      case 4 -> replace(i);
      case 5, 6, 7 -> readBadly(daemons[i]);
      case 8, 9, 10 -> gossip(daemons[i], daemons[random.nextInt(DAEMONS)]);
      case 11, 12, 13, 14, 15, 16 -> deliver();
      case 17, 18, 19 -> appendCheckpoint();
      case 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30 ->
          daemons[i].read(daemons[i].cursor, log.size(), oldest, 1 + random.nextInt(4));
      default -> {
        clock.advance(Duration.ofMillis(random.nextInt(90_000)));
        daemons[i].handle(new Event.Tick());
      }
    }
  }

  /** Lets everything work for a while and checks that all daemons agree. */
  void settle() {
    for (int round = 0; round < 60; round++) {
      clock.advance(Duration.ofSeconds(2));
      for (Daemon a : daemons) {
        a.handle(new Event.Tick());
        a.read(a.cursor, log.size(), oldest, 100);
        for (Daemon b : daemons) {
          gossip(a, b);
        }
      }
      while (!network.isEmpty()) {
        deliver(network.remove(0));
      }
      appends.forEach(this::append);
      appends.clear();
    }
    for (Daemon d : daemons) {
      assertEquals(daemons[0].controller.version(), d.controller.version());
      assertTrue(d.controller.version() <= truth.version());
      if (d.isComplete()) {
        assertEquals(truth.version(), d.controller.version());
      }
    }
  }

  /** Returns whether any daemon has a complete fold. */
  boolean isAnyComplete() {
    for (Daemon d : daemons) {
      if (d.isComplete()) {
        return true;
      }
    }
    return false;
  }

  long version() {
    return truth.version();
  }

  private void propose() {
    String id = "c" + (random.nextInt(4) == 0 ? random.nextInt(20) : log.size() + 100);
    long base = random.nextInt(3) > 0 ? truth.version() : random.nextInt(8);
    boolean valid = random.nextInt(6) > 0;
    append(new ConfigProposal(id, base, valid ? text(id + "-" + log.size()) : "broken = ["));
  }

  private static String text(String name) {
    return "name = \"" + name + "\"\npriorities = [\"high\"]\n[zones.a]\n";
  }

  private void append(LogEntry e) {
    log.add(e);
    truth.fold(e);
  }

  private void readBadly(Daemon d) {
    int end = random.nextInt(log.size() + 1);
    int first = Math.min(end, random.nextInt(oldest + 1));
    long from = random.nextBoolean() ? d.cursor : random.nextInt(log.size() + 2);
    d.read(from, end, first, random.nextInt(5));
  }

  private void gossip(Daemon a, Daemon b) {
    if (a != b) {
      a.controller.hearVersion(b.id, b.controller.version());
      a.collect();
    }
  }

  private void deliver() {
    if (!network.isEmpty()) {
      Message m = network.get(random.nextInt(network.size()));
      if (random.nextInt(4) > 0) {
        deliver(m);
      }
      if (random.nextInt(4) > 0) {
        network.remove(m);
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
    if (!appends.isEmpty()) {
      LogEntry e = appends.get(random.nextInt(appends.size()));
      append(e);
      if (random.nextBoolean()) {
        appends.remove(e);
      }
    }
  }

  private void replace(int i) {
    daemons[i] = new Daemon(new MemberId("h" + i, ++runs));
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

  /** The rule, written again in the plainest form, over all records that ever were. */
  private static final class Truth {
    private final List<String> texts = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();

    void fold(LogEntry e) {
      if (e instanceof ConfigProposal p
          && p.baseVersion() == version()
          && !p.text().startsWith("broken")
          && ids.add(p.changeId())) {
        texts.add(p.text());
      }
    }

    long version() {
      return texts.size();
    }
  }

  /** A daemon with its reader of the log. */
  private final class Daemon {
    private final MemberId id;
    private final List<Effect> effects = new ArrayList<>();
    private final ConfigController controller = new ConfigController(effects::add);
    private long cursor;
    private long version;

    Daemon(MemberId id) {
      this.id = id;
    }

    void handle(Event e) {
      controller.handle(e, clock.getAsLong());
      collect();
    }

    void read(long from, int end, int first, int most) {
      List<StoredEntry> entries = new ArrayList<>();
      for (long o = Math.max(from, first); o < end && entries.size() < most; o++) {
        entries.add(new StoredEntry(o, Optional.of(log.get((int) o))));
      }
      if (!entries.isEmpty()) {
        cursor = entries.get(entries.size() - 1).offset() + 1;
      }
      handle(new Event.LogRead(LogStream.CONFIG, from, entries, first, end));
    }

    boolean isComplete() {
      return controller.dump(clock.getAsLong()).lines().stream()
          .anyMatch(l -> l.name().equals("fold") && l.value().equals("complete"));
    }

    private void collect() {
      for (Effect e : effects) {
        if (e instanceof Effect.Send s) {
          network.add(new Message(id, s.to(), s.message()));
        } else if (e instanceof Effect.SeekStream r) {
          cursor = r.offset();
        } else if (e instanceof Effect.Append a) {
          appends.add(a.entry());
        } else if (e instanceof Effect.RaiseEvent r
            && r.event() instanceof Event.ConfigActivated c) {
          check(c.configuration());
        }
      }
      effects.clear();
    }

    private void check(VersionedDocument v) {
      assertTrue(v.version() > version, "version " + v.version() + " after " + version);
      version = v.version();
      assertTrue(version <= truth.version(), "version " + version + " was never accepted");
      assertEquals(truth.texts.get((int) version - 1), v.text());
    }
  }
}
