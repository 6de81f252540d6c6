import java.util.List;
import java.util.Locale;

/** Configurations of the operator for a small deployment. */
final class Config {
  private Config() {}

  static String route(String name, String prefix, String kind, String service) {
    return route(name, prefix, kind, service, 3_000);
  }

  static String route(
      String name, String prefix, String kind, String service, int timeoutMillis) {
    return ("{\"type_url\":\"routes\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"host\":\"%s\","
            + "\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout\":\"%dms\",\"target_latency\":\"1s\","
            + "\"priority\":1,\"service\":\"%s\",\"attempts\":2,\"public\":false}}")
        .formatted(name, Client.HOST, prefix, kind, timeoutMillis, service);
  }

  static String service(String name) {
    return ("{\"type_url\":\"services\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"health_path\":"
            + "\"/healthz\",\"max_connections\":316,\"protocol\":\"h1\",\"tls\":false,"
            + "\"warmup\":\"3s\",\"warmup_per_s\":50.0}}")
        .formatted(name);
  }

  static String tenant(String name, double ratePerSecond, double burst, String... keys) {
    return String.format(
        Locale.ROOT,
        "{\"type_url\":\"tenants\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"api_keys\":[\"%s\"],"
            + "\"priority\":1,\"rate_per_s\":%.1f,\"burst\":%.1f}}",
        name,
        String.join("\",\"", keys),
        ratePerSecond,
        burst);
  }

  static String version(int version, List<String> resources) {
    String limits =
        "{\"type_url\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
            + "\"idle_timeout\":\"15000ms\"}}";
    return String.format(
        Locale.ROOT,
        "{\"version\":\"%08x\",\"resources\":[%s,%s]}",
        version,
        String.join(",", resources),
        limits);
  }
}
