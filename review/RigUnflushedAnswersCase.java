package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a daemon gets SIGTERM while clients that send safe requests without waiting read their
 * answers at a limited pace.
 */
final class RigUnflushedAnswersCase {
  private static final int CLIENTS = 1;
  private static final int REQUESTS = 64;
  private static final int BODY_BYTES = 250_000;

  /** Pace at which a client reads; it has read everything 4.9 s after it began. */
  private static final long BYTES_PER_SECOND = (long) (REQUESTS * BODY_BYTES / 4.9);

  /** Time between the requests and SIGTERM. */
  private static final long LEAD_MILLIS = 200;

  private static final long TIME_LIMIT_MILLIS = 15_000;

  private RigUnflushedAnswersCase() {}

  static boolean holds(Path folder) throws IOException {
    try (Rig rig = new Rig(folder)) {
      rig.store.putOperatorRecord(
          "config",
          Rig.configuration(
              1,
              Rig.route("lots", "safe", "media", "15s", "10s", false),
              Rig.service("media"),
              Rig.service("front")));
      Rig.Daemon front = rig.start("sidecar-a-1", "zone-a", "front");
      Rig.Daemon media = rig.start("sidecar-b-1", "zone-b", "media");
      try (RigUpstream u =
          new RigUpstream(
              rig.record,
              "i-1",
              "media",
              RigPorts.free(),
              150,
              media.control(),
              (self, m, in, s) -> {
                Rig.sleep(50);
                RigUpstream.respond(s, m, 200, new byte[BODY_BYTES]);
                rig.record.line("upstream has answered %s", m.header("request-id"));
                return true;
              })) {
        rig.awaitReady();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String id = "client-" + i;
          clients.add(new Thread(() -> send(rig.record, front, id, lost)));
        }
        clients.forEach(Thread::start);
        Rig.sleep(LEAD_MILLIS);
        if (Rig.hasTrouble()) {
          rig.record.line("SIGTERM to %s", front.name);
          front.signal("TERM");
          Thread watch =
              new Thread(
                  () -> {
                    front.process.onExit().join();
                    rig.record.line("%s has ended", front.name);
                  });
          watch.setDaemon(true);
          watch.start();
        }
        for (Thread t : clients) {
          t.join();
        }
        rig.record.line("%d of %d requests lost", lost.get(), CLIENTS * REQUESTS);
        return lost.get() == 0;
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  /** Sends all requests, then reads the answers. */
  private static void send(RigRecord record, Rig.Daemon d, String id, AtomicInteger lost) {
    try (Socket s = d.connect()) {
      s.setReceiveBufferSize(65_536);
      s.setSoTimeout((int) TIME_LIMIT_MILLIS);
      OutputStream out = s.getOutputStream();
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < REQUESTS; i++) {
        all.append(
            Rig.request("GET", "/lots/1", id + "-" + i, TIME_LIMIT_MILLIS, Rig.KEY, ""));
      }
      RigMessage.write(out, all.toString());
      record.line("client sends %d requests %s-n", REQUESTS, id);
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (int i = 0; i < REQUESTS; i++) {
        RigAnswer a;
        try {
          a = RigAnswer.read(in, BYTES_PER_SECOND);
        } catch (IOException e) {
          a = new RigAnswer(null, 0, false);
        }
        record.line("client gets for %s-%d: %s", id, i, a);
        if (!a.complete()) {
          lost.addAndGet(REQUESTS - i);
          record.line("client: the connection has ended, %d requests lost", REQUESTS - i);
          return;
        }
      }
    } catch (IOException e) {
      record.line("client %s: %s", id, e);
    }
  }
}
