package org.pomelohollow.daemon.internal.call;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How long a connection to the target may be idle before it is not used again. */
final class IdleLimit {
  /**
   * Limit for targets that name no timeout. They close connections that were idle for more than 10
   * s.
   */
  static final Duration DEFAULT = Duration.ofSeconds(5);

  private static final String KEEP_ALIVE = "Keep-Alive";
  private static final Pattern TIMEOUT =
      Pattern.compile("(?:^|[,;\\s])timeout\\s*=\\s*(\\d{1,6})(?!\\d)", Pattern.CASE_INSENSITIVE);

  private IdleLimit() {}

  /**
   * Returns the limit after a response: half of the timeout that the target names, so that nothing
   * is sent on a connection that is being closed.
   *
   * @param h header of the response
   * @return the limit, at most {@link #DEFAULT}
   */
  static Duration after(HttpHeaders h) {
    Matcher m = TIMEOUT.matcher(h.get(KEEP_ALIVE, ""));
    if (!m.find()) {
      return DEFAULT;
    }
    Duration half = Duration.ofSeconds(Long.parseLong(m.group(1))).dividedBy(2);
    return half.compareTo(DEFAULT) < 0 ? half : DEFAULT;
  }
}
