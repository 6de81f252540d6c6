import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients on kept connections send a safe request, and another with a large answer behind it before
 * the first is answered. The first takes longer than the timeout of the second's route.
 */
final class PipelinedCase extends Case {
  private static final int CLIENTS = 10;
  private static final int ALLOWED = 3;
  private static final int LARGE_ANSWER_BYTES = 400_000;
  private static final int DEADLINE_MILLIS = 10_000;
  private static final long SLOW_WORK_MILLIS = 3_500;
  private static final long WORK_MILLIS = 900;

  private final Set<String> answeredIds = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    run(new PipelinedCase(), List.of("zone-a", "zone-b", "zone-c"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(), log);
    Daemons.Daemon a = daemons.start("host-a", "dispatch", "zone-a");
    Daemons.Daemon b = daemons.start("host-b", "catalogue", "zone-b");
    Daemons.Daemon c = daemons.start("host-c", "stock", "zone-c");
    awaitReady(a, b, c);
    Upstream dispatch = new Upstream(log, "dispatch-up", "dispatch", "zone-a", a.control);
    Upstream catalogue = new Upstream(log, "catalogue-up", "catalogue", "zone-b", b.control);
    Upstream stock = new Upstream(log, "stock-up", "stock", "zone-c", c.control);
    catalogue.setAnswerBytes(LARGE_ANSWER_BYTES);
    catalogue.setWorkMillis(180);
    Threads.sleep(6_000);
    dispatch.setWorkMillis(trouble ? SLOW_WORK_MILLIS : WORK_MILLIS);
    Thread[] clients = new Thread[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
      clients[i] = new Thread(() -> converse(c, dispatch));
      clients[i].start();
      Threads.sleep(300);
    }
    for (Thread t : clients) {
      t.join();
    }
    log.result(
        answered + " of the first requests were answered; " + lost + " had been passed on to the"
            + " upstream when their connection was closed without an answer");
    return lost.get() > ALLOWED ? BROKEN : HELD;
  }

  private void converse(Daemons.Daemon at, Upstream dispatch) {
    String first = Client.newId();
    String second = Client.newId();
    String text = request(first, "/status/1") + request(second, "/bundles/1");
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", at.outbound), 1_000);
      s.setSoTimeout(DEADLINE_MILLIS + 1_000);
      log.line("client", "sends " + first + " /status/1 and " + second + " /bundles/1");
      s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(s.getInputStream());
      readAnswer(in, first);
      answered.incrementAndGet();
      readAnswer(in, second);
    } catch (IOException | RuntimeException e) {
      boolean passedOn = dispatch.runs.stream().anyMatch(r -> r.id().equals(first));
      log.line("client", "connection of " + first + " and " + second + " ended: " + e);
      if (answeredIds.contains(first)) {
        return;
      }
      lost.addAndGet(passedOn ? 1 : 0);
    }
  }

  private void readAnswer(InputStream in, String id) throws IOException {
    String status = Client.Http.readLine(in);
    Map<String, String> h = Client.Http.readHeaders(in);
    int n = Integer.parseInt(h.getOrDefault("content-length", "0"));
    int read = in.readNBytes(n).length;
    log.line("client", "answer to " + h.get("request-id") + ": " + status + ", " + read + " bytes");
    if (read < n || !id.equals(h.get("request-id"))) {
      throw new IOException("the answer to " + id + " is not whole");
    }
    answeredIds.add(id);
  }

  private static String request(String id, String path) {
    return "GET " + path + " HTTP/1.1\r\nHost: " + Client.HOST + "\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nCredential: key\r\n\r\n";
  }

  private static String configuration() {
    return Config.version(
        1,
        List.of(
            Config.route("status", "/status/", "safe", "dispatch", 6_000),
            Config.route("bundles", "/bundles/", "safe", "catalogue", 2_500),
            Config.route("stock", "/stock/", "safe", "stock", 3_000),
            Config.service("dispatch"),
            Config.service("catalogue"),
            Config.service("stock"),
            Config.tenant("shop", 100, 100, "key")));
  }
}
