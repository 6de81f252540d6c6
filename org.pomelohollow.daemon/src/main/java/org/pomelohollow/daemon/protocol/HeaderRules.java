package org.pomelohollow.daemon.protocol;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.wire.HttpNames;

/** Selects the header fields that a daemon forwards between callers and targets. */
public final class HeaderRules {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect");
  private static final Set<String> DAEMON_FIELDS =
      Set.of(
          HttpNames.REQUEST_ID.toLowerCase(Locale.ROOT),
          HttpNames.TIMEOUT_MILLIS.toLowerCase(Locale.ROOT),
          HttpNames.VERDICT.toLowerCase(Locale.ROOT),
          HttpNames.ERROR.toLowerCase(Locale.ROOT));

  private static final Set<String> NOT_FOR_TARGET =
      Set.of(
          HttpNames.REQUEST_ID.toLowerCase(Locale.ROOT),
          HttpNames.TIMEOUT_MILLIS.toLowerCase(Locale.ROOT),
          HttpNames.VERDICT.toLowerCase(Locale.ROOT),
          HttpNames.ERROR.toLowerCase(Locale.ROOT),
          HttpNames.AUTHORIZATION.toLowerCase(Locale.ROOT));

  private static final int MAX_CACHED_NAMES = 256;
  private static final Map<String, String> LOWER_CASE_NAMES = new ConcurrentHashMap<>();

  private HeaderRules() {}

  /**
   * Returns the fields of a request to forward to the target: all but hop-by-hop fields, the API
   * key and the fields that only a daemon may set.
   *
   * @param h header fields as received
   * @return fields to forward, in their order
   */
  public static List<HeaderField> fieldsForTarget(HttpHeaders h) {
    return endToEndFields(h, NOT_FOR_TARGET);
  }

  /**
   * Returns the fields of a response to forward to the caller: all but hop-by-hop fields and those
   * that only a daemon may set.
   *
   * @param h header fields as received
   * @return fields to forward, in their order
   */
  public static List<HeaderField> fieldsForCaller(HttpHeaders h) {
    return endToEndFields(h, DAEMON_FIELDS);
  }

  /**
   * Returns the end-to-end fields: all but hop-by-hop fields and those that the Connection field
   * lists.
   *
   * @param h header fields as received
   * @param dropped names of further fields to leave out, in lower case
   * @return the remaining fields, in their order
   */
  public static List<HeaderField> endToEndFields(HttpHeaders h, Set<String> dropped) {
    Set<String> options = connectionOptions(h);
    List<HeaderField> out = new ArrayList<>(h.size());
    for (Map.Entry<String, String> e : h) {
      String n = lowerCase(e.getKey());
      if (!HOP_BY_HOP.contains(n) && !dropped.contains(n) && !options.contains(n)) {
        out.add(new HeaderField(e.getKey(), e.getValue()));
      }
    }
    return out;
  }

  /**
   * Returns a name in lower case. Results are cached, since the same names occur in all requests.
   */
  private static String lowerCase(String name) {
    String cached = LOWER_CASE_NAMES.get(name);
    if (cached != null) {
      return cached;
    }
    String n = name.toLowerCase(Locale.ROOT);
    if (LOWER_CASE_NAMES.size() < MAX_CACHED_NAMES) {
      LOWER_CASE_NAMES.put(name, n);
    }
    return n;
  }

  private static Set<String> connectionOptions(HttpHeaders h) {
    if (!h.contains(HttpHeaderNames.CONNECTION)) {
      return Set.of();
    }
    Set<String> out = new HashSet<>();
    for (String v : h.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : v.split(",", -1)) {
        out.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return out;
  }
}
