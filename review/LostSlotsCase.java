import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream crashes while its daemon is paused for two seconds, and both come back. */
final class LostSlotsCase extends Case {
  /** Machines that are not disturbed: the pause and the crash strike one of ten. */
  private static final int OTHER_MACHINES = 9;

  private static final int BURST = 40;
  private static final long BURST_WORK_MILLIS = 500;
  private static final long WORK_MILLIS = 50;
  private static final long PAUSE_BEFORE_CRASH_MILLIS = 1_600;
  private static final long PAUSE_AFTER_CRASH_MILLIS = 400;
  private static final long DOWN_MILLIS = 2_000;
  private static final long RECOVER_MILLIS = 15_000;
  private static final int REQUESTS = 100;
  private static final double LEAST_SHARE = 0.25;

  public static void main(String[] args) throws Exception {
    run(new LostSlotsCase(), List.of("zone-a", "zone-b"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(1, false), log);
    Daemons.Daemon a = daemons.start("host-a", "stock", "zone-a");
    Daemons.Daemon b = daemons.start("host-b", "orders", "zone-b");
    List<Daemons.Daemon> others = new ArrayList<>(List.of(a));
    for (int i = 1; i < OTHER_MACHINES; i++) {
      others.add(daemons.start("host-a" + i, "stock", "zone-a"));
    }
    awaitReady(b);
    awaitReady(others.toArray(new Daemons.Daemon[0]));
    for (Daemons.Daemon d : others) {
      new Upstream(log, d.name + "-up", "stock", "zone-a", d.control);
    }
    Upstream orders = new Upstream(log, "orders-up", "orders", "zone-b", b.control);
    orders.setWorkMillis(BURST_WORK_MILLIS);
    Threads.sleep(7_000);
    for (int i = 0; i < 3; i++) {
      if (sendAtOnce(a, "/orders/1", BURST) < BURST / 2) {
        log.result("requests were not served before the disruption");
        return NOT_RUN;
      }
    }
    if (trouble) {
      b.signal("STOP");
      Threads.start(() -> sendAtOnce(a, "/orders/2", BURST));
      Threads.sleep(PAUSE_BEFORE_CRASH_MILLIS);
      orders.crashNow(DOWN_MILLIS);
      Threads.sleep(PAUSE_AFTER_CRASH_MILLIS);
      b.signal("CONT");
    } else {
      sendAtOnce(a, "/orders/2", BURST);
    }
    orders.setWorkMillis(WORK_MILLIS);
    Threads.sleep(RECOVER_MILLIS);
    store.writeAsOperator("config", configuration(2, true), log);
    Threads.sleep(3_000);
    int added = 0;
    int first = 0;
    for (int i = 0; i < REQUESTS; i++) {
      first += isServed(a, i % 2 == 0 ? "/stock/" + i : "/orders/" + i) ? 1 : 0;
      added += isServed(a, "/orders-added/" + i) ? 1 : 0;
      Threads.sleep(50);
    }
    log.result(
        "of " + REQUESTS + " requests on the first routes " + first + " were served, of "
            + REQUESTS + " on the route added later " + added);
    return added < LEAST_SHARE * first ? BROKEN : HELD;
  }

  private boolean isServed(Daemons.Daemon at, String path) {
    return Client.send(log, at.name, at.outbound, "POST", path, "key", 3_000).status() == 200;
  }

  /** Sends requests on as many connections; returns how many were served. */
  private int sendAtOnce(Daemons.Daemon at, String path, int n) throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    Thread[] all = new Thread[n];
    for (int i = 0; i < n; i++) {
      String unique = path + "/" + i;
      all[i] =
          new Thread(
              () -> {
                if (isServed(at, unique)) {
                  served.incrementAndGet();
                }
              });
      all[i].start();
    }
    for (Thread t : all) {
      t.join();
    }
    return served.get();
  }

  private static String configuration(int version, boolean withAddedRoute) {
    String route = Config.route("orders", "/orders/", "unsafe", "orders");
    String added = Config.route("orders-added", "/orders-added/", "unsafe", "orders");
    return Config.version(
        version,
        List.of(
            Config.route("stock", "/stock/", "unsafe", "stock"),
            withAddedRoute ? route + "," + added : route,
            Config.service("stock"),
            Config.service("orders"),
            Config.tenant("shop", 500, 500, "key")));
  }
}
