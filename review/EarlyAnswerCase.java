import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send a long body on a kept connection and get an early answer. They send the rest of the
 * body, and then the next request.
 */
final class EarlyAnswerCase extends Case {
  private static final int CLIENTS = 18;
  private static final int LEAST_UNANSWERED = 8;
  private static final long CLIENT_INTERVAL_MILLIS = 300;
  private static final long SHORT_INTERVAL_MILLIS = 6;
  private static final int BODY_BYTES = 1_000_000;
  private static final int LONGEST_BODY_BYTES = 500_000;
  private static final int ROUTE_TIMEOUT_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 6_000;

  private final AtomicInteger longAnswered = new AtomicInteger();
  private final AtomicInteger inTime = new AtomicInteger();
  private final AtomicInteger atTimeout = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();

  public static void main(String[] args) throws Exception {
    run(new EarlyAnswerCase(), List.of("zone-a", "zone-b", "zone-c"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(), log);
    Daemons.Daemon a = daemons.start("host-a", "orders", "zone-a");
    Daemons.Daemon b = daemons.start("host-b", "photos", "zone-b");
    Daemons.Daemon c = daemons.start("host-c", "photos", "zone-c");
    awaitReady(a, b, c);
    new Upstream(log, "orders-up", "orders", "zone-a", a.control);
    Upstream photos = new Upstream(log, "photos-b", "photos", "zone-b", b.control);
    new Upstream(log, "photos-c", "photos", "zone-c", c.control);
    if (trouble) {
      photos.setLongestBody(LONGEST_BODY_BYTES);
    }
    Threads.sleep(6_000);
    AtomicBoolean sending = new AtomicBoolean(true);
    Threads.start(
        () -> {
          while (sending.get()) {
            Threads.start(
                () -> Client.send(log, a.name, a.outbound, "POST", "/photos/s", "key", 3_000));
            Threads.sleep(SHORT_INTERVAL_MILLIS);
          }
        });
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      Thread t = new Thread(() -> converse(a));
      t.start();
      clients.add(t);
      Threads.sleep(CLIENT_INTERVAL_MILLIS);
    }
    Threads.sleep(500);
    sending.set(false);
    int early = photos.rejections.get();
    int answers = early + photos.runs.size();
    for (Thread t : clients) {
      t.join();
    }
    log.line("photos-b", early + " of its " + answers + " answers were early");
    int late = atTimeout.get() + unanswered.get();
    log.result(
        early + " of " + answers + " answers of one of two upstreams were early; " + longAnswered
            + " long requests were answered; of the " + CLIENTS + " requests after them "
            + inTime + " were answered before their route's timeout, " + atTimeout
            + " within half a second after it, and " + unanswered + " not");
    if (longAnswered.get() < CLIENTS) {
      return NOT_RUN;
    }
    return late >= LEAST_UNANSWERED && 2 * unanswered.get() > late ? BROKEN : HELD;
  }

  private void converse(Daemons.Daemon at) {
    String first = Client.newId();
    String second = Client.newId();
    long sentNanos = 0;
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", at.outbound), 1_000);
      s.setSoTimeout(DEADLINE_MILLIS);
      OutputStream out = s.getOutputStream();
      InputStream in = new BufferedInputStream(s.getInputStream());
      log.line("client", "sends " + first + " /photos/1 with " + BODY_BYTES + " bytes");
      out.write(head(first, "/photos/1", BODY_BYTES));
      byte[] part = new byte[10_000];
      boolean answered = false;
      for (int sent = 0; sent < BODY_BYTES; sent += part.length) {
        out.write(part);
        Threads.sleep(5);
        if (!answered && in.available() > 0) {
          readAnswer(in, first);
          answered = true;
        }
      }
      log.line("client", "has sent the whole body of " + first);
      if (!answered) {
        readAnswer(in, first);
      }
      longAnswered.incrementAndGet();
      sentNanos = System.nanoTime();
      log.line("client", "sends " + second + " /orders/1 on the same connection");
      out.write(head(second, "/orders/1", 0));
      readAnswer(in, second);
      long tookMillis = (System.nanoTime() - sentNanos) / 1_000_000;
      if (tookMillis <= ROUTE_TIMEOUT_MILLIS) {
        inTime.incrementAndGet();
      } else if (tookMillis <= ROUTE_TIMEOUT_MILLIS + 500) {
        atTimeout.incrementAndGet();
      } else {
        unanswered.incrementAndGet();
      }
    } catch (IOException | RuntimeException e) {
      log.line("client", "no answer to " + (sentNanos == 0 ? first : second) + ": " + e);
      unanswered.addAndGet(sentNanos == 0 ? 0 : 1);
    }
  }

  private void readAnswer(InputStream in, String id) throws IOException {
    String status = Client.Http.readLine(in);
    Map<String, String> h = Client.Http.readHeaders(in);
    in.readNBytes(Integer.parseInt(h.getOrDefault("content-length", "0")));
    log.line("client", "answer to " + id + ": " + status + " " + h);
    if (!id.equals(h.get("request-id"))) {
      throw new IOException("the answer is to " + h.get("request-id"));
    }
    if ("close".equalsIgnoreCase(h.get("connection"))) {
      throw new IOException("the connection closes");
    }
  }

  private static byte[] head(String id, String path, int length) {
    return ("POST " + path + " HTTP/1.1\r\nHost: " + Client.HOST + "\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nCredential: key\r\nContent-Length: "
            + length + "\r\n\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static String configuration() {
    return Config.version(
        1,
        List.of(
            Config.route("orders", "/orders/", "unsafe", "orders", ROUTE_TIMEOUT_MILLIS),
            Config.route("photos", "/photos/", "unsafe", "photos", 5_000),
            Config.service("orders"),
            Config.service("photos"),
            Config.tenant("shop", 500, 500, "key")));
  }
}
