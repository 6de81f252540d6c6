package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports below the range that the system gives to outgoing connections. */
final class RigPorts {
  private static final int FIRST = 15_000;
  private static final int COUNT = 15_000;
  private static final Random RANDOM = new Random();
  private static final Set<Integer> TAKEN = new HashSet<>();

  private RigPorts() {}

  static synchronized int free() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = FIRST + RANDOM.nextInt(COUNT);
      if (TAKEN.contains(port)) {
        continue;
      }
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        TAKEN.add(s.getLocalPort());
        return port;
      } catch (IOException e) {
        continue; // In use.
      }
    }
    throw new IOException("no free port");
  }
}
