package rig;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's store: topics that keep the newest record of each key, with appends,
 * long polls and reads of the newest records. It never fails.
 */
final class RigStore implements AutoCloseable {
  private final Map<String, List<byte[]>> topics = new HashMap<>();
  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          r -> {
            Thread t = new Thread(r, "store");
            t.setDaemon(true);
            return t;
          });

  RigStore() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), RigPorts.free()), 64);
    server.createContext("/-/log-newest", this::newest);
    server.createContext("/-/log-read", this::read);
    server.createContext("/-/log-append", this::append);
    server.setExecutor(threads);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** Writes a record as the operator does. */
  void putOperatorRecord(String key, String value) {
    byte[] k = key.getBytes(StandardCharsets.UTF_8);
    byte[] v = value.getBytes(StandardCharsets.UTF_8);
    byte[] r = new byte[1 + k.length + v.length];
    r[0] = (byte) k.length;
    System.arraycopy(k, 0, r, 1, k.length);
    System.arraycopy(v, 0, r, 1 + k.length, v.length);
    add("keyed.op", List.of(r));
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }

  private synchronized long add(String topic, List<byte[]> records) {
    List<byte[]> t = topics.computeIfAbsent(topic, n -> new ArrayList<>());
    t.addAll(records);
    notifyAll();
    return t.size() - records.size();
  }

  private void newest(HttpExchange x) throws IOException {
    String json;
    synchronized (this) {
      List<byte[]> t = topics.getOrDefault(query(x, "topic", ""), List.of());
      Map<String, Integer> offsets = new LinkedHashMap<>();
      for (int i = 0; i < t.size(); i++) {
        offsets.put(key(t.get(i)), i);
      }
      StringBuilder b = new StringBuilder("{\"items\":[");
      for (Map.Entry<String, Integer> e : offsets.entrySet()) {
        byte[] r = t.get(e.getValue());
        byte[] value = Arrays.copyOfRange(r, 1 + r[0], r.length);
        if (value.length == 0) {
          continue;
        }
        b.append(b.charAt(b.length() - 1) == '[' ? "" : ",")
            .append("{\"key\":\"" + e.getKey() + "\",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(value))
            .append("\",\"offset\":" + e.getValue() + "}");
      }
      json = b.append("],\"has_more\":false,\"end\":" + t.size() + "}").toString();
    }
    respond(x, 200, json.getBytes(StandardCharsets.UTF_8));
  }

  private void read(HttpExchange x) throws IOException {
    String topic = query(x, "topic", "");
    int from = Integer.parseInt(query(x, "from", "0"));
    long untilNanos =
        System.nanoTime() + Long.parseLong(query(x, "wait_ms", "0")) * 1_000_000;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    synchronized (this) {
      List<byte[]> t = topics.computeIfAbsent(topic, n -> new ArrayList<>());
      while (t.size() <= from && untilNanos - System.nanoTime() > 0) {
        try {
          wait(Math.max(1, (untilNanos - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
          return;
        }
      }
      if (from > t.size()) {
        respond(x, 410, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
        return;
      }
      DataOutputStream d = new DataOutputStream(out);
      d.writeLong(t.size());
      d.writeLong(0);
      for (byte[] r : t.subList(from, t.size())) {
        d.writeInt(r.length);
        d.write(r);
      }
    }
    respond(x, 200, out.toByteArray());
  }

  private void append(HttpExchange x) throws IOException {
    List<byte[]> records = new ArrayList<>();
    DataInputStream in = new DataInputStream(x.getRequestBody());
    byte[] all = in.readAllBytes();
    for (int at = 0; at + 4 <= all.length; ) {
      int n = java.nio.ByteBuffer.wrap(all, at, 4).getInt();
      records.add(Arrays.copyOfRange(all, at + 4, at + 4 + n));
      at += 4 + n;
    }
    String topic = query(x, "topic", "");
    if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
      respond(x, 403, new byte[0]);
      return;
    }
    long offset = add(topic, records);
    String json = "{\"offset\":" + offset + ",\"end\":" + (offset + records.size()) + "}";
    respond(x, 200, json.getBytes(StandardCharsets.UTF_8));
  }

  private static String key(byte[] r) {
    return new String(r, 1, r[0], StandardCharsets.UTF_8);
  }

  private static String query(HttpExchange x, String name, String fallback) {
    for (String p : x.getRequestURI().getQuery().split("&")) {
      if (p.startsWith(name + "=")) {
        return p.substring(name.length() + 1);
      }
    }
    return fallback;
  }

  private static void respond(HttpExchange x, int status, byte[] body) throws IOException {
    x.getResponseHeaders().set("Store-Era", "1");
    x.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    x.getResponseBody().write(body);
    x.close();
  }
}
