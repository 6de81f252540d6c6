import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Clients on the machines of the daemons. */
final class Client {
  static final String HOST = "shop.example";

  private static final AtomicLong LAST_ID = new AtomicLong();

  private Client() {}

  /** Answer to a request; status 0 if the connection ended without one. */
  record Answer(String id, int status, long sentNanos, long answeredNanos, String body) {}

  static String newId() {
    return String.format(Locale.ROOT, "%016x", 0x5eed_0000L + LAST_ID.incrementAndGet());
  }

  /** Sends a request on a new connection and waits for the answer. */
  static Answer send(
      Log log, String machine, int port, String method, String path, String key, int deadlineMs) {
    return send(log, machine, port, method, path, key, deadlineMs, "");
  }

  static Answer send(
      Log log,
      String machine,
      int port,
      String method,
      String path,
      String key,
      int deadlineMs,
      String body) {
    String id = newId();
    String text =
        method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
            + "\r\nDeadline-Ms: " + deadlineMs + "\r\nCredential: " + key
            + "\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    long sent = System.nanoTime();
    log.line("client", "sends " + id + " " + method + " " + path + " key " + key + " at " + machine);
    int status = 0;
    String answerBody = "";
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      s.setSoTimeout(deadlineMs + 1_000);
      s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = new BufferedInputStream(s.getInputStream());
      status = Integer.parseInt(Http.readLine(in).split(" ")[1]);
      Map<String, String> h = Http.readHeaders(in);
      int n = Integer.parseInt(h.getOrDefault("content-length", "0"));
      byte[] b = in.readNBytes(n);
      answerBody = new String(b, StandardCharsets.ISO_8859_1);
      status = b.length == n ? status : 0;
    } catch (IOException | RuntimeException e) {
      log.line("client", "no answer to " + id + ": " + e);
    }
    log.line("client", "answer to " + id + ": " + status);
    return new Answer(id, status, sent, System.nanoTime(), answerBody);
  }

  /** Status of a GET without any of a client's fields, 0 without an answer. */
  static int statusOf(int port, String path) {
    try (Socket s = new Socket()) {
      s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
      s.setSoTimeout(1_000);
      s.getOutputStream()
          .write(
              ("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      return Integer.parseInt(Http.readLine(s.getInputStream()).split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return 0;
    }
  }

  /** The little of HTTP that the stand-ins need. */
  static final class Http {
    private Http() {}

    static String readLine(InputStream in) throws IOException {
      StringBuilder b = new StringBuilder();
      int c = in.read();
      if (c < 0) {
        throw new IOException("end of the connection");
      }
      for (; c >= 0 && c != '\n'; c = in.read()) {
        if (c != '\r') {
          b.append((char) c);
        }
      }
      return b.toString();
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
      Map<String, String> h = new HashMap<>();
      for (String l = readLine(in); !l.isEmpty(); l = readLine(in)) {
        int colon = l.indexOf(':');
        h.put(l.substring(0, colon).toLowerCase(Locale.ROOT), l.substring(colon + 1).strip());
      }
      return h;
    }
  }
}
