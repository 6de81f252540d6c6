package org.pomelohollow.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.pomelohollow.model.Endpoint;

/** Caller that writes raw bytes to a connection, so that requests can be malformed. */
final class RawCaller implements AutoCloseable {
  private static final int TIMEOUT_MILLIS = 20_000;

  private final Socket socket;

  RawCaller(Endpoint to) throws IOException {
    socket = new Socket(to.address(), to.port());
    socket.setSoTimeout(TIMEOUT_MILLIS);
  }

  RawCaller write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
    return this;
  }

  /** Reads until the other side closes the connection. */
  String readAll() throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Reads the head of a response, up to and including the empty line. */
  String readHead() throws IOException {
    StringBuilder s = new StringBuilder();
    InputStream in = socket.getInputStream();
    while (s.indexOf("\r\n\r\n") < 0) {
      int c = in.read();
      if (c < 0) {
        throw new IOException("connection closed within the head of a response: " + s);
      }
      s.append((char) c);
    }
    return s.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
