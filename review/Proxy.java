import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Loopback proxy for one server. It can silence the connections that are open: their bytes are
 * dropped in both directions, and neither side sees an end. New connections work.
 */
final class Proxy {
  private final int serverPort;
  private final ServerSocket listener;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();

  Proxy(int serverPort) throws IOException {
    this.serverPort = serverPort;
    this.listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Silences the connections that are open now; returns their number. */
  int silenceOpenConnections() {
    int n = 0;
    for (Pair p : pairs) {
      if (!p.silent && !p.closed) {
        p.silent = true;
        n++;
      }
    }
    return n;
  }

  private void accept() throws IOException {
    while (true) {
      Socket client = listener.accept();
      Threads.start(() -> connect(client));
    }
  }

  private void connect(Socket client) throws IOException {
    Socket server = new Socket();
    server.connect(new InetSocketAddress("127.0.0.1", serverPort), 2_000);
    client.setTcpNoDelay(true);
    server.setTcpNoDelay(true);
    Pair p = new Pair(client, server);
    pairs.add(p);
    Threads.start(() -> p.pump(client, server));
    Threads.start(() -> p.pump(server, client));
  }

  private static final class Pair {
    private final Socket client;
    private final Socket server;
    private volatile boolean silent;
    private volatile boolean closed;

    Pair(Socket client, Socket server) {
      this.client = client;
      this.server = server;
    }

    void pump(Socket from, Socket to) {
      byte[] b = new byte[64 * 1024];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(b); n >= 0; n = in.read(b)) {
          if (!silent) {
            out.write(b, 0, n);
            out.flush();
          }
        }
      } catch (IOException e) {
        // The connection has ended on one side; handled below.
      }
      if (!silent) {
        closed = true;
        Threads.close(client);
        Threads.close(server);
      }
    }
  }
}
