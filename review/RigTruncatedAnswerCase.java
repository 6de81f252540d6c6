package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * MIXED: upstreams answer long requests before they have read all of them, and without a length.
 * One of two upstreams breaks off one of fifty of its answers with a reset.
 */
final class RigTruncatedAnswerCase {
  private static final int MAX_ROUNDS = 20;
  private static final int MIN_BREAKS = 4;
  private static final int SHORT_REQUESTS_PER_ROUND = 120;

  /** Least number of whole answers between two that are broken off. */
  private static final int ANSWERS_PER_BREAK = 50;

  private static final int REQUEST_BYTES = 16 << 20;
  private static final int ANSWER_BYTES = 100_000;
  private static final int CUT_BYTES = 40_000;

  private RigTruncatedAnswerCase() {}

  static boolean holds(Path folder) throws IOException {
    try (Rig rig = new Rig(folder)) {
      rig.store.putOperatorRecord(
          "config",
          Rig.configuration(
              1,
              Rig.route("orders", "unsafe", "ledger", "20s", "2s", false),
              Rig.route("status", "safe", "ledger", "20s", "2s", false),
              Rig.service("ledger"),
              Rig.service("front")));
      Rig.Daemon front = rig.start("sidecar-a-1", "zone-a", "front");
      Rig.Daemon first = rig.start("sidecar-b-1", "zone-b", "ledger");
      Rig.Daemon second = rig.start("sidecar-c-1", "zone-c", "ledger");
      AtomicInteger breaks = new AtomicInteger();
      Map<String, Integer> answersSinceBreak = new ConcurrentHashMap<>();
      AtomicReference<String> faulty = new AtomicReference<>();
      RigUpstream.Behaviour behaviour =
          (self, m, in, s) -> {
            boolean mayBreakOff =
                Rig.hasTrouble()
                    && m.method().equals("POST")
                    && answersSinceBreak.getOrDefault(self.id(), 0) >= ANSWERS_PER_BREAK;
            // The first of the two that breaks off an answer stays the only one that does.
            boolean breaksOff =
                mayBreakOff
                    && (faulty.compareAndSet(null, self.id()) || self.id().equals(faulty.get()));
            if (breaksOff) {
              breaks.incrementAndGet();
              answersSinceBreak.put(self.id(), 0);
            } else {
              answersSinceBreak.merge(self.id(), 1, Integer::sum);
            }
            return serve(rig.record, m, in, s, breaksOff);
          };
      try (RigUpstream u1 =
              new RigUpstream(
                  rig.record, "i-1", "ledger", RigPorts.free(), 36, first.control(), behaviour);
          RigUpstream u2 =
              new RigUpstream(
                  rig.record, "i-2", "ledger", RigPorts.free(), 36, second.control(), behaviour)) {
        rig.awaitReady();
        int foreign = 0;
        int rounds = Rig.hasTrouble() ? MAX_ROUNDS : MIN_BREAKS;
        for (int i = 0; i < rounds && breaks.get() < MIN_BREAKS; i++) {
          sendShortRequests(front, i);
          foreign += sendLongRequest(rig.record, front, "long-" + i) ? 0 : 1;
        }
        if (Rig.hasTrouble() && breaks.get() == 0) {
          throw new IOException("no answer was broken off");
        }
        rig.record.line(
            "%d answers broken off, %d parts of answers delivered as whole successes",
            breaks.get(), foreign);
        return foreign == 0;
      }
    }
  }

  private static boolean serve(
      RigRecord record, RigMessage m, InputStream in, Socket s, boolean breaksOff) throws IOException {
    if (m.method().equals("GET")) {
      Rig.sleep(5);
      RigUpstream.respond(s, m, 200, new byte[400]);
      return true;
    }
    byte[] answer = new byte[ANSWER_BYTES];
    Arrays.fill(answer, (byte) 'a');
    in.readNBytes(65_536);
    OutputStream out = s.getOutputStream();
    RigMessage.write(out, RigUpstream.head(m, 200) + "Connection: close\r\n\r\n");
    out.write(answer, 0, CUT_BYTES);
    Rig.sleep(300);
    String id = m.header("request-id");
    if (breaksOff) {
      record.line("upstream resets after %d of %d bytes for %s", CUT_BYTES, ANSWER_BYTES, id);
      s.setSoLinger(true, 0);
      s.close();
      return false;
    }
    out.write(answer, CUT_BYTES, ANSWER_BYTES - CUT_BYTES);
    s.shutdownOutput();
    record.line("upstream has sent its whole answer of %d bytes for %s", ANSWER_BYTES, id);
    byte[] rest = new byte[65_536];
    while (in.read(rest) >= 0) {
      // Reads on until the daemon closes.
    }
    return false;
  }

  private static void sendShortRequests(Rig.Daemon d, int round) throws IOException {
    try (Socket s = d.connect()) {
      s.setSoTimeout(25_000);
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (int i = 0; i < SHORT_REQUESTS_PER_ROUND; i++) {
        String id = "short-" + round + "-" + i;
        RigMessage.write(
            s.getOutputStream(), Rig.request("GET", "/status/1", id, 20_000, Rig.KEY, ""));
        if (!RigAnswer.read(in).complete()) {
          throw new IOException("request " + id + " has no complete answer");
        }
      }
    }
  }

  /** Returns false if a success comes with a part of the upstream's body. */
  private static boolean sendLongRequest(RigRecord record, Rig.Daemon d, String id)
      throws IOException {
    try (Socket s = d.connect()) {
      s.setSoTimeout(25_000);
      record.line("client sends POST %s with %d bytes", id, REQUEST_BYTES);
      Thread upload = new Thread(() -> upload(s, id));
      upload.setDaemon(true);
      upload.start();
      RigAnswer a;
      try {
        a = RigAnswer.read(new BufferedInputStream(s.getInputStream()));
      } catch (IOException e) {
        a = new RigAnswer(null, 0, false);
      }
      record.line("client gets for %s: %s", id, a);
      return !(a.isSuccess() && a.complete() && a.bytes() != ANSWER_BYTES);
    }
  }

  private static void upload(Socket s, String id) {
    try {
      OutputStream out = s.getOutputStream();
      RigMessage.write(
          out,
          Rig.request(
              "POST", "/orders/1", id, 20_000, Rig.KEY, "Content-Length: " + REQUEST_BYTES + "\r\n"));
      byte[] part = new byte[65_536];
      for (int sent = 0; sent < REQUEST_BYTES; sent += part.length) {
        out.write(part);
      }
    } catch (IOException e) {
      // The connection was closed after the answer.
    }
  }
}
