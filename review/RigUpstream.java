package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for an upstream: serves requests and sends liveness reports to the daemon beside it. */
final class RigUpstream implements AutoCloseable {
  static final long HEARTBEAT_MILLIS = 1_500;

  private final RigRecord record;
  private final String id;
  private final String service;
  private final int slots;
  private final String control;
  private final Behaviour behaviour;
  private final long born = System.currentTimeMillis();
  private final AtomicLong seq = new AtomicLong();
  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean running = true;
  private volatile boolean reporting = true;

  RigUpstream(
      RigRecord record,
      String id,
      String service,
      int port,
      int slots,
      String control,
      Behaviour behaviour)
      throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.control = control;
    this.behaviour = behaviour;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 512);
    start(this::accept);
    start(this::report);
    record.line("upstream %s of %s starts at port %d with %d slots", id, service, port, slots);
  }

  String id() {
    return id;
  }

  @Override
  public void close() throws IOException {
    running = false;
    server.close();
    for (Socket s : sockets) {
      s.close();
    }
  }

  private void accept() {
    while (running) {
      try {
        Socket s = server.accept();
        s.setTcpNoDelay(true);
        sockets.add(s);
        start(() -> serve(s));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket s) {
    try {
      InputStream in = new BufferedInputStream(s.getInputStream());
      for (RigMessage m = RigMessage.read(in); m != null && running; m = RigMessage.read(in)) {
        String expected = m.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          RigMessage.Body b = m.body(in, false);
          byte[] buffer = new byte[8_192];
          while (b.read(buffer) >= 0) {
            // The body is not used.
          }
          record.line("%s (%s) answers 421 to %s", id, service, m.header("request-id"));
          RigMessage.write(
              s.getOutputStream(),
              "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: "
                  + m.header("request-id")
                  + "\r\nInstance-Id: "
                  + id
                  + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        record.line("%s (%s) runs %s %s", id, service, m.header("request-id"), m.startLine());
        if (!behaviour.serve(this, m, in, s)) {
          return;
        }
      }
    } catch (IOException e) {
      // The connection is over.
    } finally {
      if (running) {
        closeQuietly(s);
      }
    }
  }

  private void report() {
    while (running) {
      if (reporting) {
        boolean first = seq.get() == 0;
        boolean acknowledged = post("heartbeat", nextReport());
        if (first && acknowledged) {
          record.line("%s (%s) has its first liveness report acknowledged", id, service);
        }
      }
      Rig.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** Stops the reports that are sent by themselves. */
  void stopReporting() {
    reporting = false;
  }

  /** Returns the body of the next liveness report. */
  String nextReport() {
    return ("{\"address\":\"127.0.0.1:%d\",\"born\":%d,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
            + "\"zone\":\"zone-a\",\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":%d,"
            + "\"warmup_left\":\"0ms\"}}")
        .formatted(server.getLocalPort(), born, service, slots, seq.incrementAndGet());
  }

  /** Returns the body of a deregistration. */
  String farewell() {
    return "{\"born\":%d}".formatted(born);
  }

  /** Makes a call to the daemon beside this upstream; returns whether it was acknowledged. */
  boolean post(String call, String body) {
    String[] a = control.split(":");
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress(a[0], Integer.parseInt(a[1])), 1_000);
      s.setSoTimeout(1_000);
      RigMessage.write(
          s.getOutputStream(),
          "POST /-/instances/"
              + id
              + "/"
              + call
              + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
              + "Connection: close\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      RigMessage m = RigMessage.read(s.getInputStream());
      return m != null && m.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a complete answer with a length. */
  static void respond(Socket s, RigMessage request, int status, byte[] body) throws IOException {
    OutputStream out = s.getOutputStream();
    RigMessage.write(out, head(request, status) + "Content-Length: " + body.length + "\r\n\r\n");
    out.write(body);
    out.flush();
  }

  /** Returns the head of an answer up to its framing. */
  static String head(RigMessage request, int status) {
    return "HTTP/1.1 "
        + status
        + " Status\r\nRequest-Id: "
        + request.header("request-id")
        + "\r\nResponse-Signature: "
        + Integer.toHexString(request.header("request-id").hashCode())
        + "\r\n";
  }

  static void readBody(RigMessage m, InputStream in) throws IOException {
    RigMessage.Body b = m.body(in, false);
    byte[] buffer = new byte[65_536];
    while (b.read(buffer) >= 0) {
      // Not used.
    }
  }

  private static void closeQuietly(Socket s) {
    try {
      s.close();
    } catch (IOException e) {
      // Closed as far as it can be.
    }
  }

  private static void start(Runnable r) {
    Thread t = new Thread(r, "upstream");
    t.setDaemon(true);
    t.start();
  }

  /** What an upstream does with a request that it runs. */
  @FunctionalInterface
  interface Behaviour {
    /**
     * Serves a request whose head was read.
     *
     * @return whether the connection can carry another request
     */
    boolean serve(RigUpstream self, RigMessage m, InputStream in, Socket s) throws IOException;
  }
}
