package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a daemon gets SIGTERM while its clients download. They go on using their connections, since
 * it is the only daemon of its zone.
 */
final class RigDrainedConnectionCase {
  /** Times that the downloads take, one for each client. */
  private static final List<Long> DOWNLOAD_MILLIS = List.of(4_200L, 4_400L, 4_600L, 4_800L);

  private static final int BODY_BYTES = 1 << 20;
  private static final int PART_BYTES = 16 << 10;

  /** Time between the start of the downloads and SIGTERM. */
  private static final long LEAD_MILLIS = 1_300;

  private static final long LOSS_SLACK_MILLIS = 200;
  private static final long TIME_LIMIT_MILLIS = 5_000;

  private RigDrainedConnectionCase() {}

  static boolean holds(Path folder) throws IOException {
    try (Rig rig = new Rig(folder)) {
      rig.store.putOperatorRecord(
          "config",
          Rig.configuration(
              1,
              Rig.route("packs", "download", "media", "5s", "2s", false),
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
              36,
              media.control(),
              (self, m, in, s) -> serve(m, s))) {
        rig.awaitReady();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (long millis : DOWNLOAD_MILLIS) {
          clients.add(new Thread(() -> download(rig.record, front, millis, lost)));
        }
        clients.forEach(Thread::start);
        Rig.sleep(LEAD_MILLIS);
        if (Rig.hasTrouble()) {
          rig.record.line("SIGTERM to %s", front.name);
          front.signal("TERM");
          Thread questions = new Thread(() -> askReadiness(rig.record, front));
          questions.setDaemon(true);
          questions.start();
        }
        for (Thread t : clients) {
          join(t);
        }
        rig.record.line("%d of %d requests lost", lost.get(), clients.size());
        return lost.get() == 0;
      }
    }
  }

  private static boolean serve(RigMessage m, Socket s) throws IOException {
    OutputStream out = s.getOutputStream();
    if (!m.path().startsWith("/packs/large/")) {
      RigUpstream.respond(s, m, 200, new byte[6_000]);
      return true;
    }
    RigMessage.write(out, RigUpstream.head(m, 200) + "Content-Length: " + BODY_BYTES + "\r\n\r\n");
    long millis = Long.parseLong(m.path().substring("/packs/large/".length()));
    long startNanos = System.nanoTime();
    byte[] part = new byte[PART_BYTES];
    for (int sent = PART_BYTES; sent <= BODY_BYTES; sent += PART_BYTES) {
      out.write(part);
      Rig.sleep(millis * sent / BODY_BYTES - (System.nanoTime() - startNanos) / 1_000_000);
    }
    return true;
  }

  /** Downloads a large answer, then sends another request on the connection if that is kept. */
  private static void download(RigRecord record, Rig.Daemon d, long millis, AtomicInteger lost) {
    String id = "client-" + millis;
    try (Socket s = d.connect()) {
      s.setSoTimeout((int) TIME_LIMIT_MILLIS);
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      record.line("client sends %s-large", id);
      RigMessage.write(
          out,
          Rig.request("GET", "/packs/large/" + millis, id + "-large", TIME_LIMIT_MILLIS, Rig.KEY, ""));
      RigAnswer a = RigAnswer.read(in);
      record.line("client gets for %s-large: %s", id, a);
      if (!a.complete() || a.head().header("connection").equalsIgnoreCase("close")) {
        return;
      }
      RigMessage.write(
          out, Rig.request("GET", "/packs/1", id + "-next", TIME_LIMIT_MILLIS, Rig.KEY, ""));
      long sentNanos = System.nanoTime();
      record.line("client has sent %s-next on the same connection", id);
      String end;
      boolean read = true;
      try {
        RigAnswer next = RigAnswer.read(in);
        if (next.complete()) {
          record.line("client gets for %s-next: %s", id, next);
          return;
        }
        end = "its end";
      } catch (SocketException e) {
        read = false; // The connection was reset: the daemon may not have read the request.
        end = "a reset";
      }
      long waited = (System.nanoTime() - sentNanos) / 1_000_000;
      record.line("client gets no answer to %s-next, but %s after %d ms", id, end, waited);
      if (read && waited > LOSS_SLACK_MILLIS) {
        lost.incrementAndGet();
      }
    } catch (IOException e) {
      record.line("client %s: %s", id, e);
    }
  }

  /** Asks each second whether the daemon is ready, as the platform does. */
  private static void askReadiness(RigRecord record, Rig.Daemon d) {
    while (d.process.isAlive()) {
      record.line("%s is %s", d.name, d.isReady() ? "ready" : "not ready");
      Rig.sleep(1_000);
    }
    record.line("%s has ended", d.name);
  }

  private static void join(Thread t) throws IOException {
    try {
      t.join();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }
}
