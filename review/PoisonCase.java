import java.util.ArrayList;
import java.util.List;

/** A request that crashes each upstream that runs it is sent again every few seconds. */
final class PoisonCase extends Case {
  private static final long CONTACT_NANOS = 3_000_000_000L;
  private static final int ALLOWED_RETRIES = 3;
  private static final int SENDS = 16;
  private static final long SEND_INTERVAL_MILLIS = 4_500;
  private static final long DOWN_MILLIS = 3_000;
  private static final long STOCK_INTERVAL_MILLIS = 100;
  private static final long STATUS_INTERVAL_MILLIS = Long.getLong("status.millis", 6_000);
  private static final String PATH = "/status/poison";

  public static void main(String[] args) throws Exception {
    run(new PoisonCase(), List.of("zone-a", "zone-b", "zone-c"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(), log);
    List<Daemons.Daemon> machines = new ArrayList<>();
    for (String z : List.of("a", "b", "c")) {
      machines.add(daemons.start("dispatch-" + z, "dispatch", "zone-" + z));
    }
    machines.add(daemons.start("stock-a", "stock", "zone-a"));
    awaitReady(machines.toArray(new Daemons.Daemon[0]));
    List<Upstream> upstreams = new ArrayList<>();
    for (Daemons.Daemon d : machines) {
      upstreams.add(new Upstream(log, d.name + "-up", d.service, d.zone, d.control));
    }
    if (trouble) {
      upstreams.forEach(u -> u.crashOn(r -> r.path().equals(PATH), DOWN_MILLIS));
    }
    Threads.sleep(6_000);
    sendSteadily(machines, "/stock/", STOCK_INTERVAL_MILLIS);
    sendSteadily(machines, "/status/", STATUS_INTERVAL_MILLIS);
    for (int i = 0; i < SENDS; i++) {
      Daemons.Daemon d = machines.get(i % machines.size());
      Threads.start(() -> Client.send(log, d.name, d.outbound, "GET", PATH, "key", 3_000));
      Threads.sleep(SEND_INTERVAL_MILLIS);
    }
    List<Long> crashes = new ArrayList<>();
    upstreams.forEach(u -> crashes.addAll(u.crashes));
    crashes.sort(null);
    if (crashes.size() < 3) {
      log.result(crashes.size() + " crashes");
      return HELD;
    }
    long from = crashes.get(2) + CONTACT_NANOS;
    long late =
        upstreams.stream()
            .flatMap(u -> u.runs.stream())
            .filter(r -> r.path().equals(PATH) && r.nanos() > from)
            .count();
    log.result(
        crashes.size() + " crashes; the request reached upstreams " + late
            + " times later than contact after the third");
    return late > ALLOWED_RETRIES ? BROKEN : HELD;
  }

  /** Sends other requests by turns at all machines. */
  private void sendSteadily(List<Daemons.Daemon> machines, String prefix, long intervalMillis) {
    Threads.start(
        () -> {
          for (int i = 0; ; i++) {
            Threads.sleep(intervalMillis);
            Daemons.Daemon d = machines.get(i % machines.size());
            Threads.start(
                () -> Client.send(log, d.name, d.outbound, "GET", prefix + "other", "key", 3_000));
          }
        });
  }

  private static String configuration() {
    return Config.version(
        1,
        List.of(
            Config.route("status", "/status/", "safe", "dispatch"),
            Config.route("stock", "/stock/", "safe", "stock"),
            Config.service("dispatch"),
            Config.service("stock"),
            Config.tenant("shop", 100, 100, "key")));
  }
}
