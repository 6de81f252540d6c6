import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts the project's daemons as processes, with the command and template of the deploy file. */
final class Daemons implements AutoCloseable {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^{}]+)}}");
  private static final Pattern ZONES = Pattern.compile("\\{\\{#zones}}.*?\\{\\{/zones}}");

  private static final int LOWEST_PORT = 12_000;
  private static final int HIGHEST_PORT = 32_000;
  private static final Set<Integer> USED_PORTS = ConcurrentHashMap.newKeySet();

  private final Path repository;
  private final Path folder;
  private final Log log;
  private final List<String> zones;
  private final int storePort;
  private final String command;
  private final String template;
  private final String secret;
  private final List<Daemon> all = new ArrayList<>();

  Daemons(Path repository, Path folder, Log log, List<String> zones, int storePort)
      throws IOException {
    this.repository = repository;
    this.folder = folder;
    this.log = log;
    this.zones = zones;
    this.storePort = storePort;
    String deploy = Files.readString(repository.resolve("deploy/system.toml"));
    command = first(deploy, "(?m)^run = \"([^\"]*)\"");
    secret = first(deploy, "POMELOHOLLOW_PEER_SECRET = \"([^\"]*)\"");
    template = Files.readString(repository.resolve(first(deploy, "(?m)^template = \"([^\"]*)\"")));
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
  }

  Daemon start(String name, String service, String zone) throws IOException {
    Daemon d = new Daemon(name, service, zone);
    d.start();
    all.add(d);
    return d;
  }

  @Override
  public void close() {
    killAll();
  }

  private void killAll() {
    for (Daemon d : all) {
      d.process.destroyForcibly();
    }
  }

  private static String first(String text, String regex) {
    Matcher m = Pattern.compile(regex).matcher(text);
    if (!m.find()) {
      throw new IllegalStateException("deploy file has no " + regex);
    }
    return m.group(1);
  }

  /**
   * Returns a free port below the range from which the system takes the ports of outgoing
   * connections, so that none of those takes it before it is bound, or while its process restarts.
   */
  static int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (USED_PORTS.add(port)) {
          return port;
        }
      } catch (BindException e) {
        // Taken by another process: tries the next one.
      }
    }
    throw new IOException("no free port");
  }

  /** One daemon and the addresses of its machine. */
  final class Daemon {
    final String name;
    final String service;
    final String zone;
    final int outbound = freePort();
    final int control = freePort();
    final int readiness = freePort();
    final int peer = freePort();
    final int admin = freePort();
    Process process;

    Daemon(String name, String service, String zone) throws IOException {
      this.name = name;
      this.service = service;
      this.zone = zone;
    }

    void start() throws IOException {
      Path settings = folder.resolve(name + ".toml");
      Files.writeString(settings, settingsText(), StandardCharsets.UTF_8);
      List<String> words = new ArrayList<>();
      for (String w : command.split(" ")) {
        words.add(w.equals("/etc/pomelohollow/node.json") ? settings.toString() : w);
      }
      ProcessBuilder b = new ProcessBuilder(words).directory(repository.toFile());
      b.environment().put("POMELOHOLLOW_PEER_SECRET", secret);
      b.environment().put("POMELOHOLLOW_SETTINGS", settings.toString());
      b.redirectErrorStream(true);
      b.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = b.start();
      log.line(name, "daemon started");
    }

    void kill() throws Exception {
      process.destroyForcibly().waitFor();
      log.line(name, "daemon killed");
    }

    void signal(String s) throws Exception {
      new ProcessBuilder("kill", "-" + s, Long.toString(process.pid())).start().waitFor();
      log.line(name, "daemon got SIG" + s);
    }

    boolean isReady() {
      return Client.statusOf(readiness, "/-/ready") == 200;
    }

    private String settingsText() {
      Map<String, String> values = new HashMap<>();
      values.put("node_id", name);
      values.put("zone", zone);
      values.put("service", service);
      values.put("ip", "127.0.0.1");
      values.put("port_range.0", Integer.toString(peer));
      values.put("port_range.1", Integer.toString(admin));
      values.put("listen_addrs.outbound", "127.0.0.1:" + outbound);
      values.put("listen_addrs.control", "127.0.0.1:" + control);
      values.put("listen_addrs.readiness", "127.0.0.1:" + readiness);
      values.put("platform.address", "127.0.0.1:" + storePort);
      values.put("platform.record_bytes", "262144");
      values.put("bounds.retry_budget_ratio", "0.2");
      values.put("bounds.grace", "6s");
      String zoneList = "\"" + String.join("\",\"", zones) + "\"";
      String t = ZONES.matcher(template).replaceAll(Matcher.quoteReplacement(zoneList));
      return PLACEHOLDER
          .matcher(t)
          .replaceAll(
              m -> {
                String v = values.get(m.group(1));
                if (v == null) {
                  throw new IllegalStateException("no value for " + m.group());
                }
                return Matcher.quoteReplacement(v);
              });
    }
  }
}
