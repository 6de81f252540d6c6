package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * DRAIN: an upstream deregisters at a daemon that was restarted, and a liveness report from before
 * that arrives later.
 */
final class RigLateReportCase {
  private static final int CLIENTS = 20;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long DELAY_MILLIS = 2_500;

  /** How long the upstream goes on serving after its deregistration was acknowledged. */
  private static final long SERVING_MILLIS = 9_000;

  private static volatile long acknowledgedNanos;

  private RigLateReportCase() {}

  static boolean holds(Path folder) throws IOException {
    try (Rig rig = new Rig(folder)) {
      rig.store.putOperatorRecord(
          "config",
          Rig.configuration(
              1,
              Rig.route("orders", "unsafe", "ledger", "3s", "2s", false),
              Rig.service("ledger"),
              Rig.service("front")));
      Rig.Daemon front = rig.start("sidecar-a-1", "zone-a", "front");
      Rig.Daemon first = rig.start("sidecar-b-1", "zone-b", "ledger");
      Rig.Daemon second = rig.start("sidecar-c-1", "zone-c", "ledger");
      AtomicInteger late = new AtomicInteger();
      RigUpstream.Behaviour leaving =
          (self, m, in, s) -> {
            long sinceAck = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
            if (acknowledgedNanos != 0 && sinceAck > DRAIN_MILLIS) {
              late.incrementAndGet();
              rig.record.line(
                  "%s reached %d ms after the ack by %s", self.id(), sinceAck, m.header("request-id"));
            }
            return serve(m, in, s);
          };
      try (RigUpstream u1 =
              new RigUpstream(
                  rig.record, "i-1", "ledger", RigPorts.free(), 36, first.control(), leaving);
          RigUpstream u2 =
              new RigUpstream(
                  rig.record,
                  "i-2",
                  "ledger",
                  RigPorts.free(),
                  36,
                  second.control(),
                  (self, m, in, s) -> serve(m, in, s))) {
        rig.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
          String client = "client-" + i;
          Thread t = new Thread(() -> sendRequests(rig.record, front, client));
          t.setDaemon(true);
          t.start();
        }
        Rig.sleep(1_000);
        u1.stopReporting();
        rig.record.line("SIGTERM to %s, which is started again", first.name);
        first.restart();
        while (!first.isReady()) {
          Rig.sleep(50);
        }
        rig.record.line("%s is ready again", first.name);
        String report = u1.nextReport();
        if (Rig.hasTrouble()) {
          rig.record.line("i-1 sends a liveness report, which is delayed by %d ms", DELAY_MILLIS);
        } else {
          rig.record.line("i-1 sends a liveness report: %s", u1.post("heartbeat", report));
        }
        Rig.sleep(1_000);
        if (!u1.post("deregister", u1.farewell())) {
          throw new IOException("the deregistration was not acknowledged");
        }
        acknowledgedNanos = System.nanoTime();
        rig.record.line("i-1 has deregistered, which was acknowledged; it goes on serving");
        Rig.sleep(DELAY_MILLIS - 1_000);
        if (Rig.hasTrouble()) {
          rig.record.line("the delayed report arrives: %s", u1.post("heartbeat", report));
        }
        Rig.sleep(SERVING_MILLIS - (System.nanoTime() - acknowledgedNanos) / 1_000_000);
        rig.record.line("%d requests later than %d ms after the ack", late.get(), DRAIN_MILLIS);
        return late.get() == 0;
      }
    }
  }

  private static boolean serve(RigMessage m, InputStream in, Socket s) throws IOException {
    RigUpstream.readBody(m, in);
    Rig.sleep(100);
    RigUpstream.respond(s, m, 200, new byte[400]);
    return true;
  }

  private static void sendRequests(RigRecord record, Rig.Daemon d, String client) {
    try (Socket s = d.connect()) {
      s.setSoTimeout(10_000);
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (int i = 0; ; i++) {
        String id = client + "-" + i;
        RigMessage.write(
            s.getOutputStream(),
            Rig.request("POST", "/orders/1", id, 6_000, Rig.KEY, "Content-Length: 2\r\n") + "hi");
        RigAnswer a = RigAnswer.read(in);
        if (!a.isSuccess()) {
          record.line("client gets for %s: %s", id, a);
        }
        Rig.sleep(20);
      }
    } catch (IOException e) {
      record.line("client: %s", e);
    }
  }
}
