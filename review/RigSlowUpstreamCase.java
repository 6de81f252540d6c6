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

/** LOST: clients send long requests, and the upstream reads them slowly. */
final class RigSlowUpstreamCase {
  private static final int CLIENTS = 12;
  private static final int REQUEST_BYTES = 40 << 20;
  private static final int PART_BYTES = 64 << 10;
  private static final long TIME_LIMIT_MILLIS = 60_000;

  /** Pace at which the upstream reads one request: all of it within 20 s. */
  private static final long SLOW_BYTES_PER_SECOND = 2 << 20;

  /** Lost requests that the rule allows. */
  private static final int MAX_LOST = 3;

  private RigSlowUpstreamCase() {}

  static boolean holds(Path folder) throws IOException {
    try (Rig rig = new Rig(folder)) {
      rig.store.putOperatorRecord(
          "config",
          Rig.configuration(
              1,
              Rig.route("orders", "unsafe", "ledger", "60s", "50s", false),
              Rig.service("ledger"),
              Rig.service("front")));
      Rig.Daemon ledger = rig.start("sidecar-a-1", "zone-a", "ledger");
      rig.start("sidecar-b-1", "zone-b", "front");
      try (RigUpstream u =
          new RigUpstream(
              rig.record,
              "i-1",
              "ledger",
              RigPorts.free(),
              36,
              ledger.control(),
              (self, m, in, s) -> serve(rig.record, m, in, s))) {
        rig.awaitReady();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
          String id = "client-" + i;
          clients.add(new Thread(() -> send(rig.record, ledger, id, lost)));
        }
        clients.forEach(Thread::start);
        for (Thread t : clients) {
          t.join();
        }
        rig.record.line("%d of %d requests lost", lost.get(), CLIENTS);
        rig.log(ledger).lines().filter(l -> l.contains("memory")).limit(3).forEach(l -> rig.record.line("%s logs: %s", ledger.name, l));
        return lost.get() <= MAX_LOST;
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }

  private static boolean serve(RigRecord record, RigMessage m, InputStream in, Socket s)
      throws IOException {
    RigMessage.Body b = m.body(in, false);
    byte[] buffer = new byte[PART_BYTES];
    long startNanos = System.nanoTime();
    long got = 0;
    for (int n = b.read(buffer); n >= 0; n = b.read(buffer)) {
      got += n;
      if (Rig.hasTrouble()) {
        Rig.sleep(
            got * 1_000 / SLOW_BYTES_PER_SECOND - (System.nanoTime() - startNanos) / 1_000_000);
      }
    }
    record.line(
        "upstream has read %d bytes of %s, %s",
        got, m.header("request-id"), b.isComplete() ? "all" : "then the connection ended");
    if (!b.isComplete()) {
      return false;
    }
    RigUpstream.respond(s, m, 200, new byte[400]);
    return true;
  }

  private static void send(RigRecord record, Rig.Daemon d, String id, AtomicInteger lost) {
    try (Socket s = d.connect()) {
      s.setSoTimeout((int) TIME_LIMIT_MILLIS);
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      String head =
          Rig.request("POST", "/orders/0", id + "-first", 10_000, Rig.KEY, "Content-Length: 0\r\n");
      RigMessage.write(out, head);
      record.line("client gets for %s-first: %s", id, RigAnswer.read(in));
      record.line("client sends %s-long with %d bytes", id, REQUEST_BYTES);
      try {
        RigMessage.write(
            out,
            Rig.request(
                "POST",
                "/orders/1",
                id + "-long",
                TIME_LIMIT_MILLIS,
                Rig.KEY,
                "Content-Length: " + REQUEST_BYTES + "\r\n"));
        byte[] part = new byte[PART_BYTES];
        for (int sent = 0; sent < REQUEST_BYTES; sent += PART_BYTES) {
          out.write(part);
        }
        record.line("client has sent all of %s-long", id);
        RigAnswer a = RigAnswer.read(in);
        record.line("client gets for %s-long: %s", id, a);
        lost.addAndGet(a.complete() ? 0 : 1);
      } catch (IOException e) {
        record.line("client: the connection of %s-long ends without an answer: %s", id, e);
        lost.incrementAndGet();
      }
    } catch (IOException e) {
      record.line("client %s: %s", id, e);
    }
  }
}
