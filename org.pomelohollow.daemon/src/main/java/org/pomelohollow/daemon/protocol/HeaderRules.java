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

/** Which header fields pass from one side to the other. */
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
  private static final Set<String> OWN =
      Set.of(
          HttpNames.REQUEST_ID.toLowerCase(Locale.ROOT),
          HttpNames.TIMEOUT_MILLIS.toLowerCase(Locale.ROOT),
          HttpNames.VERDICT.toLowerCase(Locale.ROOT),
          HttpNames.ERROR.toLowerCase(Locale.ROOT));

  private static final Set<String> FROM_CALLER =
      Set.of(
          HttpNames.REQUEST_ID.toLowerCase(Locale.ROOT),
          HttpNames.TIMEOUT_MILLIS.toLowerCase(Locale.ROOT),
          HttpNames.VERDICT.toLowerCase(Locale.ROOT),
          HttpNames.ERROR.toLowerCase(Locale.ROOT),
          HttpNames.AUTHORIZATION.toLowerCase(Locale.ROOT));

  private static final int MAX_NAMES = 256;
  private static final Map<String, String> LOWER_CASE = new ConcurrentHashMap<>();

  private HeaderRules() {}

  /**
   * Returns the fields of a request that go to the target: no hop-by-hop fields, no key, and
   * nothing that only a daemon may say.
   *
   * @param h fields as received
   * @return fields in order
   */
  public static List<HeaderField> forTarget(HttpHeaders h) {
    return endToEnd(h, FROM_CALLER);
  }

  /**
   * Returns the fields of an answer that go to the caller.
   *
   * @param h fields as received
   * @return fields in order
   */
  public static List<HeaderField> forCaller(HttpHeaders h) {
    return endToEnd(h, OWN);
  }

  /**
   * Returns the fields that concern more than one connection.
   *
   * @param h fields as received
   * @param dropped further fields that stay behind, in lower case
   * @return fields in order
   */
  public static List<HeaderField> endToEnd(HttpHeaders h, Set<String> dropped) {
    Set<String> named = namedByConnection(h);
    List<HeaderField> out = new ArrayList<>(h.size());
    for (Map.Entry<String, String> e : h) {
      String n = lowerCase(e.getKey());
      if (!HOP_BY_HOP.contains(n) && !dropped.contains(n) && !named.contains(n)) {
        out.add(new HeaderField(e.getKey(), e.getValue()));
      }
    }
    return out;
  }

  /** Names come again and again, so their lower-case forms are kept. */
  private static String lowerCase(String name) {
    String known = LOWER_CASE.get(name);
    if (known != null) {
      return known;
    }
    String n = name.toLowerCase(Locale.ROOT);
    if (LOWER_CASE.size() < MAX_NAMES) {
      LOWER_CASE.put(name, n);
    }
    return n;
  }

  private static Set<String> namedByConnection(HttpHeaders h) {
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
