package rig;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: a store, daemons and what else a case starts. */
final class Rig implements AutoCloseable {
  static final String HOST = "shop.example";
  static final String KEY = "8pjbvk9m68k7b2ex5wa5";

  private final Path repository = Path.of("").toAbsolutePath();
  private final Path folder = Files.createTempDirectory("review-rig");
  private final List<Daemon> daemons = new ArrayList<>();
  final RigRecord record;
  final RigStore store;

  Rig(Path caseFolder) throws IOException {
    record = new RigRecord(caseFolder.resolve("record.txt"));
    store = new RigStore();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Starts a daemon by the command of the deploy file, with settings of its template. */
  Daemon start(String name, String zone, String service) throws IOException {
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    Map<String, String> fields = new TreeMap<>();
    fields.put("node_id", name);
    fields.put("zone", zone);
    fields.put("service", service);
    fields.put("ip", "127.0.0.1");
    fields.put("port_range.0", Integer.toString(RigPorts.free()));
    fields.put("port_range.1", Integer.toString(RigPorts.free()));
    for (String a : List.of("outbound", "control", "readiness")) {
      fields.put("listen_addrs." + a, "127.0.0.1:" + RigPorts.free());
    }
    fields.put("platform.address", store.address());
    fields.put("platform.record_bytes", "262144");
    fields.put("bounds.retry_budget_ratio", "0.2");
    fields.put("bounds.grace", "6s");
    String text =
        Files.readString(repository.resolve(find(deploy, "template = \"([^\"]*)\"")))
            .replaceAll("\\{\\{#zones}}.*\\{\\{/zones}}", "\"zone-a\",\"zone-b\",\"zone-c\"");
    for (Map.Entry<String, String> e : fields.entrySet()) {
      text = text.replace("{{" + e.getKey() + "}}", e.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("the template has a field that this rig does not know");
    }
    Path settings = folder.resolve(name + ".toml");
    Files.writeString(settings, text);
    List<String> command = new ArrayList<>();
    for (String word : find(deploy, "run = \"([^\"]*)\"").split(" ")) {
      command.add(word.equals("/etc/pomelohollow/node.json") ? settings.toString() : word);
    }
    ProcessBuilder b = new ProcessBuilder(command).directory(repository.toFile());
    Matcher env = Pattern.compile("env = \\{ (\\w+) = \"([^\"]*)\" }").matcher(deploy);
    if (env.find()) {
      b.environment().put(env.group(1), env.group(2));
    }
    b.environment().put("POMELOHOLLOW_SETTINGS", settings.toString());
    b.redirectErrorStream(true).redirectOutput(
            ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    Daemon d = new Daemon(name, fields, b);
    daemons.add(d);
    record.line("daemon %s in %s starts, beside an upstream of %s", name, zone, service);
    return d;
  }

  /** Waits until all daemons are ready, and the upstreams are known to all of them. */
  void awaitReady() throws IOException {
    for (Daemon d : daemons) {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (!d.isReady()) {
        if (System.nanoTime() - end > 0 || !d.process.isAlive()) {
          throw new IOException("daemon " + d.name + " does not get ready");
        }
        sleep(100);
      }
    }
    sleep(4_000);
    record.line("all daemons are ready");
  }

  /** Returns what a daemon has logged. */
  String log(Daemon d) throws IOException {
    return Files.readString(folder.resolve(d.name + ".log"));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a configuration with the given resources, one account and the usual limits. */
  static String configuration(int version, String... resources) {
    return "{\"version\":\"%08x\",\"resources\":[%s,".formatted(version, String.join(",", resources))
        + "{\"type_url\":\"tenants\",\"metadata\":{\"name\":\"pulo780\"},\"spec\":{\"api_keys\":[\""
        + KEY
        + "\"],\"priority\":1,\"rate_per_s\":5000,\"burst\":5000}},"
        + "{\"type_url\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
  }

  static String route(
      String prefix, String kind, String service, String timeout, String latency, boolean open) {
    return ("{\"type_url\":\"routes\",\"metadata\":{\"name\":\"r-%s\"},\"spec\":{\"host\":\"%s\","
            + "\"path_prefix\":\"/%s/\",\"kind\":\"%s\",\"timeout\":\"%s\",\"target_latency\":\"%s\","
            + "\"priority\":2,\"service\":\"%s\",\"attempts\":2,\"public\":%s}}")
        .formatted(prefix, HOST, prefix, kind, timeout, latency, service, open);
  }

  static String service(String name) {
    return ("{\"type_url\":\"services\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup\":\"3s\",\"warmup_per_s\":50.0}}")
        .formatted(name);
  }

  /** Returns the head of a client's request. */
  static String request(
      String method, String path, String id, long timeLimitMillis, String key, String more) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nRequest-Id: "
        + id
        + "\r\nDeadline-Ms: "
        + timeLimitMillis
        + (key.isEmpty() ? "" : "\r\nCredential: " + key)
        + "\r\n"
        + more
        + "\r\n";
  }

  @Override
  public void close() throws IOException {
    endDaemons();
    store.close();
    record.close();
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path f : files.toList()) {
          Files.delete(f);
        }
      }
      Files.delete(folder);
    }
  }

  private void endDaemons() {
    for (Daemon d : daemons) {
      d.process.destroyForcibly();
    }
    for (Daemon d : daemons) {
      try {
        d.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static String find(String text, String pattern) throws IOException {
    Matcher m = Pattern.compile(pattern).matcher(text);
    if (!m.find()) {
      throw new IOException("the deploy file has no " + pattern);
    }
    return m.group(1);
  }

  /** A running daemon. */
  static final class Daemon {
    final String name;
    private final Map<String, String> fields;
    private final ProcessBuilder command;
    volatile Process process;

    Daemon(String name, Map<String, String> fields, ProcessBuilder command) throws IOException {
      this.name = name;
      this.fields = fields;
      this.command = command;
      this.process = command.start();
    }

    /** Stops the daemon by SIGTERM and starts it again with the same settings. */
    void restart() throws IOException {
      signal("TERM");
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      process = command.start();
    }

    String control() {
      return fields.get("listen_addrs.control");
    }

    /** Opens a connection as a client beside this daemon. */
    Socket connect() throws IOException {
      return connect(fields.get("listen_addrs.outbound"));
    }

    /** Sends a signal, such as TERM or STOP. */
    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    /** Returns whether the daemon says that it is ready, as the platform asks it. */
    boolean isReady() {
      try (Socket s = connect(fields.get("listen_addrs.readiness"))) {
        s.setSoTimeout(1_000);
        RigMessage.write(
            s.getOutputStream(), "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        RigMessage m = RigMessage.read(s.getInputStream());
        return m != null && m.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    private static Socket connect(String address) throws IOException {
      String[] a = address.split(":");
      Socket s = new Socket();
      s.setTcpNoDelay(true);
      s.connect(new InetSocketAddress(a[0], Integer.parseInt(a[1])), 1_000);
      return s;
    }
  }
}
