package rig;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Head of an HTTP/1.1 message, and the reading and writing of bodies. */
record RigMessage(String startLine, Map<String, String> headers) {
  /** Reads a head; returns null if the connection ends before its first byte. */
  static RigMessage read(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String h = readLine(in); h == null || !h.isEmpty(); h = readLine(in)) {
      if (h == null) {
        throw new EOFException("the connection ended in a head");
      }
      int colon = h.indexOf(':');
      headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).strip());
    }
    return new RigMessage(start, headers);
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String method() {
    return startLine.split(" ")[0];
  }

  String path() {
    return startLine.split(" ")[1];
  }

  boolean isChunked() {
    return header("transfer-encoding").equalsIgnoreCase("chunked");
  }

  /** Opens the body for reading: it ends with its length, its last chunk or its connection. */
  Body body(InputStream in, boolean untilClose) {
    long length =
        headers.containsKey("content-length")
            ? Long.parseLong(header("content-length"))
            : untilClose ? Long.MAX_VALUE : 0;
    return new Body(in, isChunked(), length);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder b = new StringBuilder();
    int c = in.read();
    if (c < 0) {
      return null;
    }
    for (; c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the connection ended in a line");
      }
      if (c != '\r') {
        b.append((char) c);
      }
    }
    return b.toString();
  }

  /** A body that is being read. */
  static final class Body {
    private final InputStream in;
    private final boolean chunked;
    private long left;
    private boolean complete;

    Body(InputStream in, boolean chunked, long length) {
      this.in = in;
      this.chunked = chunked;
      this.left = chunked ? 0 : length;
      this.complete = !chunked && length == 0;
    }

    /** Returns whether the whole body was read. */
    boolean isComplete() {
      return complete;
    }

    /** Reads some bytes; returns -1 after the end of the body, or if its connection ended. */
    int read(byte[] b) throws IOException {
      if (complete) {
        return -1;
      }
      if (chunked && left == 0 && !startChunk()) {
        return -1;
      }
      int n = in.read(b, 0, (int) Math.min(b.length, left));
      if (n < 0) {
        complete = left > Long.MAX_VALUE / 2; // A body without a length ends with its connection.
        return -1;
      }
      left -= n;
      if (left == 0 && chunked) {
        readLine(in);
      }
      complete = !chunked && left == 0;
      return n;
    }

    private boolean startChunk() throws IOException {
      String size = readLine(in);
      if (size == null) {
        return false;
      }
      left = Long.parseLong(size.strip(), 16);
      if (left > 0) {
        return true;
      }
      complete = "".equals(readLine(in));
      return false;
    }
  }
}
