import java.util.List;

/** Open connections to the store go silent; 4 s later the operator withdraws a key. */
final class SilentStoreCase extends Case {
  private static final long CONTACT_NANOS = 3_000_000_000L;
  private static final long CONFIG_APPLY_NANOS = 2_000_000_000L;
  private static final String KEPT = "key-kept";
  private static final String WITHDRAWN = "key-withdrawn";

  public static void main(String[] args) throws Exception {
    run(new SilentStoreCase(), List.of("zone-a", "zone-b", "zone-c"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(1, KEPT, WITHDRAWN), log);
    Daemons.Daemon a = daemons.start("host-a", "stock", "zone-a");
    Daemons.Daemon b = daemons.start("host-b", "stock", "zone-b");
    Daemons.Daemon c = daemons.start("host-c", "orders", "zone-c");
    Daemons.Daemon[] all = {a, b, c};
    awaitReady(all);
    List<Upstream> upstreams =
        List.of(
            new Upstream(log, "stock-a", "stock", "zone-a", a.control),
            new Upstream(log, "stock-b", "stock", "zone-b", b.control),
            new Upstream(log, "orders-c", "orders", "zone-c", c.control));
    Threads.sleep(8_000);
    for (Daemons.Daemon d : all) {
      for (String key : List.of(KEPT, WITHDRAWN)) {
        if (Client.send(log, d.name, d.outbound, "GET", "/stock/1", key, 3_000).status() != 200) {
          log.result("a request was not served before the disruption");
          return NOT_RUN;
        }
      }
    }
    long silencedNanos = System.nanoTime();
    if (trouble) {
      log.line("proxy", store.proxy.silenceOpenConnections() + " connections to the store silent");
    }
    Threads.sleep(4_000);
    long ackNanos = store.writeAsOperator("config", configuration(2, KEPT), log);
    int late = 0;
    int refused = 0;
    long firstRefusedNanos = 0;
    while (System.nanoTime() - ackNanos < 40_000_000_000L && refused < 12) {
      Threads.sleep(400);
      for (Daemons.Daemon d : all) {
        Client.Answer r =
            Client.send(log, d.name, d.outbound, "POST", "/orders/1", WITHDRAWN, 3_000);
        boolean counts =
            r.sentNanos() - ackNanos > CONFIG_APPLY_NANOS
                && r.sentNanos() - silencedNanos > CONTACT_NANOS;
        boolean ran =
            upstreams.stream().flatMap(u -> u.runs.stream()).anyMatch(x -> x.id().equals(r.id()));
        late += counts && ran ? 1 : 0;
        if (r.status() == 401) {
          refused++;
          firstRefusedNanos = firstRefusedNanos == 0 ? r.sentNanos() : firstRefusedNanos;
        }
      }
    }
    log.result(
        late + " requests with the withdrawn key ran that were sent later than config_apply after"
            + " the ack; the first was refused "
            + (firstRefusedNanos == 0 ? "never" : (firstRefusedNanos - ackNanos) / 1_000_000 + " ms after it"));
    return late > 0 ? BROKEN : HELD;
  }

  private static String configuration(int version, String... keys) {
    return Config.version(
        version,
        List.of(
            Config.route("stock", "/stock/", "safe", "stock"),
            Config.route("orders", "/orders/", "unsafe", "orders"),
            Config.service("stock"),
            Config.service("orders"),
            Config.tenant("shop", 100, 100, keys)));
  }
}
