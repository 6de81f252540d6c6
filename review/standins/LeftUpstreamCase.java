import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A daemon is stopped and starts again. Its upstream deregisters at the new process, and then a
 * heartbeat from before arrives late.
 */
final class LeftUpstreamCase extends Case {
  /** The contact of 3 s, and one more second to be sure that the machine is in touch. */
  private static final long CONTACT_NANOS = 4_000_000_000L;
  private static final long DRAIN_NANOS = 2_000_000_000L;
  private static final long LATE_MILLIS = 2_500;
  private static final long BEAT_AGAIN_MILLIS = Upstream.BEAT_MILLIS;
  private static final long SERVES_ON_MILLIS = 11_000;

  public static void main(String[] args) throws Exception {
    run(new LeftUpstreamCase(), List.of("zone-a", "zone-b", "zone-c"), args);
  }

  @Override
  int play() throws Exception {
    store.writeAsOperator("config", configuration(), log);
    Daemons.Daemon a = daemons.start("host-a", "stock", "zone-a");
    Daemons.Daemon b = daemons.start("host-b", "stock", "zone-b");
    Daemons.Daemon c = daemons.start("host-c", "orders", "zone-c");
    awaitReady(a, b, c);
    Upstream leaving = new Upstream(log, "stock-a", "stock", "zone-a", a.control);
    new Upstream(log, "stock-b", "stock", "zone-b", b.control);
    new Upstream(log, "orders-c", "orders", "zone-c", c.control);
    Threads.sleep(8_000);
    AtomicBoolean sending = new AtomicBoolean(true);
    for (Daemons.Daemon d : List.of(a, b, c)) {
      Threads.start(
          () -> {
            while (sending.get()) {
              Threads.start(
                  () -> Client.send(log, d.name, d.outbound, "POST", "/stock/1", "key", 3_000));
              Threads.sleep(100);
            }
          });
    }
    Threads.sleep(1_000);
    leaving.stopBeating();
    a.signal("TERM");
    while (!a.process.waitFor(BEAT_AGAIN_MILLIS, TimeUnit.MILLISECONDS)) {
      leaving.beat("ready", 0);
    }
    log.line(a.name, "daemon ended");
    Threads.start(() -> leaving.beat("ready", trouble ? LATE_MILLIS : 0));
    a.start();
    long restartedNanos = System.nanoTime();
    while (leaving.deregister() / 100 != 2) {
      if (System.nanoTime() - restartedNanos > Upstream.BEAT_MILLIS * 1_000_000) {
        log.result("the deregistration was not acknowledged before the next heartbeat");
        return NOT_RUN;
      }
      Threads.sleep(100);
    }
    long ackNanos = System.nanoTime();
    Threads.sleep(SERVES_ON_MILLIS);
    sending.set(false);
    leaving.exit();
    long from = Math.max(ackNanos + DRAIN_NANOS, restartedNanos + CONTACT_NANOS);
    long late = leaving.runs.stream().filter(r -> r.nanos() > from).count();
    log.result(
        late + " requests reached the upstream later than drain after the ack, through machines in"
            + " touch");
    return late > 0 ? BROKEN : HELD;
  }

  private static String configuration() {
    return Config.version(
        1,
        List.of(
            Config.route("stock", "/stock/", "unsafe", "stock"),
            Config.route("orders", "/orders/", "unsafe", "orders"),
            Config.service("stock"),
            Config.service("orders"),
            Config.tenant("shop", 200, 200, "key")));
  }
}
