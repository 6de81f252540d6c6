import java.io.IOException;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.platform.standin.StoreStandIn;

/** The platform's store: the project's own stand-in, behind a proxy of this review. */
final class Store {
  final StoreStandIn standIn = StoreStandIn.start(new Endpoint("127.0.0.1", 0));
  final Proxy proxy;

  Store() throws IOException {
    proxy = new Proxy(standIn.address().port());
  }

  /** Writes a record as the operator; returns the time of the store's acknowledgement. */
  long writeAsOperator(String key, String value, Log log) {
    standIn.writeOperatorRecord(key, value);
    long now = System.nanoTime();
    log.line("operator", "store acknowledged " + key);
    return now;
  }
}
