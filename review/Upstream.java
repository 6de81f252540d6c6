import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** An upstream next to a daemon, with heartbeats to the daemon's control address. */
final class Upstream {
  static final long BEAT_MILLIS = 1_500;
  static final int SLOTS = 36;

  /** A request that the upstream began to work on. */
  record Run(String id, String method, String path, Map<String, String> headers, long nanos) {}

  final String name;
  final String service;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  final AtomicInteger rejections = new AtomicInteger();
  final List<Long> crashes = new CopyOnWriteArrayList<>();

  private final Log log;
  private final String zone;
  private final int control;
  private final int port;
  private final AtomicLong sequence = new AtomicLong();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private ServerSocket server;
  private volatile String id;
  private volatile long born;
  private volatile boolean beating;
  private volatile int life;
  private volatile long workMillis = 20;
  private volatile int answerBytes = 2;
  private volatile int longestBody = Integer.MAX_VALUE;
  private volatile Predicate<Run> crashesOn = r -> false;
  private volatile long downMillis = 3_000;

  Upstream(Log log, String name, String service, String zone, int control) throws IOException {
    this.log = log;
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.control = control;
    this.port = Daemons.freePort();
    start();
  }

  void setWorkMillis(long millis) {
    workMillis = millis;
  }

  void setAnswerBytes(int n) {
    answerBytes = n;
  }

  /** Rejects requests with a longer body as soon as it has read their heads. */
  void setLongestBody(int bytes) {
    longestBody = bytes;
  }

  /** Requests that crash the upstream, and the time until it is back. */
  void crashOn(Predicate<Run> p, long millis) {
    crashesOn = p;
    downMillis = millis;
  }

  String id() {
    return id;
  }

  /** Starts a new incarnation with a new id at the same address. */
  private synchronized void start() throws IOException {
    life++;
    id = "i-" + Long.toHexString(ThreadLocalRandom.current().nextLong(1L << 31, 1L << 32));
    born = System.currentTimeMillis();
    sequence.set(0);
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
    log.line(name, "upstream " + id + " started");
    ServerSocket s = server;
    Threads.start(() -> accept(s));
    beating = true;
    int mine = life;
    Threads.start(
        () -> {
          while (beating && life == mine) {
            beat("ready", 0);
            Threads.sleep(BEAT_MILLIS);
          }
        });
  }

  /** Ends the process: the port is closed and all connections are reset. Back after a while. */
  private synchronized void crash(int ofLife) throws IOException {
    if (life != ofLife || !beating) {
      return;
    }
    beating = false;
    crashes.add(System.nanoTime());
    log.line(name, "upstream " + id + " crashed");
    server.close();
    for (Socket s : sockets) {
      s.setSoLinger(true, 0);
      Threads.close(s);
    }
    sockets.clear();
    Threads.start(
        () -> {
          Threads.sleep(downMillis);
          start();
        });
  }

  /** Crashes now, and is back after a time. */
  void crashNow(long millis) throws IOException {
    downMillis = millis;
    crash(life);
  }

  /** Stops heartbeats, as an upstream does that has deregistered. */
  void stopBeating() {
    beating = false;
  }

  /** Exits: closes the port and all connections. */
  synchronized void exit() throws IOException {
    beating = false;
    server.close();
    sockets.forEach(Threads::close);
    log.line(name, "upstream " + id + " exited");
  }

  /**
   * Sends a heartbeat on a new connection, whose first packet arrives after a delay.
   *
   * @return status of the answer, 0 without one
   */
  int beat(String state, long delayMillis) {
    String body =
        "{\"address\":\"127.0.0.1:" + port + "\",\"born\":" + born + ",\"info\":{\"service\":\""
            + service + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"slots\":" + SLOTS
            + "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + sequence.incrementAndGet()
            + ",\"warmup_left\":\"0ms\"}}";
    String what = "heartbeat " + sequence.get() + " (" + state + ")";
    if (delayMillis > 0) {
      log.line(name, what + " sent, delayed by " + delayMillis + " ms on its way");
    }
    Threads.sleep(delayMillis);
    int status = post("/-/instances/" + id + "/heartbeat", body);
    if (delayMillis > 0 || !state.equals("ready")) {
      log.line(name, what + " arrived, answer " + status);
    }
    return status;
  }

  int deregister() {
    int status = post("/-/instances/" + id + "/deregister", "{\"born\":" + born + "}");
    log.line(name, "deregistered " + id + ", answer " + status);
    return status;
  }

  private int post(String path, String body) {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", control), 1_000);
      s.setSoTimeout(1_000);
      s.getOutputStream()
          .write(
              ("POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
                      + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                  .getBytes(StandardCharsets.ISO_8859_1));
      return Integer.parseInt(Client.Http.readLine(s.getInputStream()).split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  private void accept(ServerSocket listener) throws IOException {
    while (true) {
      Socket s = listener.accept();
      s.setTcpNoDelay(true);
      sockets.add(s);
      Threads.start(() -> serve(s));
    }
  }

  private void serve(Socket s) throws Exception {
    try (s) {
      InputStream in = new BufferedInputStream(s.getInputStream());
      OutputStream out = s.getOutputStream();
      while (true) {
        String[] words = Client.Http.readLine(in).split(" ");
        Map<String, String> h = Client.Http.readHeaders(in);
        int length = Integer.parseInt(h.getOrDefault("content-length", "0"));
        String requestId = h.getOrDefault("request-id", "");
        if (length > longestBody) {
          rejections.incrementAndGet();
          log.line(name, "rejects " + requestId + " before its body is in");
          out.write(answer("413 Content Too Large", requestId, "Response-Signature: 0.2\r\n", 2));
          out.flush();
          in.readNBytes(length);
          continue;
        }
        in.readNBytes(length);
        if (!h.getOrDefault("expect-instance", id).equals(id)) {
          out.write(answer("421 Misdirected Request", requestId, "Not-Executed: 1\r\n", 0));
          continue;
        }
        Run r = new Run(requestId, words[0], words[1], h, System.nanoTime());
        runs.add(r);
        log.line(
            name,
            "runs " + requestId + " " + words[0] + " " + words[1] + " tenant " + h.get("tenant")
                + ", has " + h.get("deadline-ms") + " ms");
        if (crashesOn.test(r)) {
          crash(life);
          return;
        }
        Threads.sleep(workMillis);
        out.write(answer("200 OK", requestId, "Response-Signature: 0.1\r\n", answerBytes));
        out.flush();
      }
    } finally {
      sockets.remove(s);
    }
  }

  private byte[] answer(String status, String requestId, String fields, int bytes) {
    return ("HTTP/1.1 " + status + "\r\nRequest-Id: " + requestId + "\r\n" + fields
            + "Server-Load: 0,0," + SLOTS + "\r\nContent-Length: " + bytes + "\r\n\r\n"
            + "x".repeat(bytes))
        .getBytes(StandardCharsets.ISO_8859_1);
  }
}
