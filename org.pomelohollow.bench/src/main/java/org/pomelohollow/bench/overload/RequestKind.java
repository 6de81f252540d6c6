package org.pomelohollow.bench.overload;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;

/** Kinds of requests in the mix, in descending order of priority. */
enum RequestKind {
  /** A write on a route that is not idempotent, sent with an idempotency key. */
  CRITICAL("POST", 0.15),
  /** A read. */
  NORMAL("GET", 0.6),
  /** A read of low priority. */
  LOW("GET", 0.25);

  private final String method;
  private final double share;

  RequestKind(String method, double share) {
    this.method = method;
    this.share = share;
  }

  HttpMethod method() {
    return HttpMethod.valueOf(method);
  }

  /** Returns the share of this kind among all requests. */
  double share() {
    return share;
  }

  String path(String service) {
    return "/" + service + "/" + name().toLowerCase(Locale.ROOT);
  }

  /** Maps a uniform random number from 0 to 1 to a kind, so that each occurs in its share. */
  static RequestKind of(double u) {
    if (u < CRITICAL.share) {
      return CRITICAL;
    }
    return u < CRITICAL.share + NORMAL.share ? NORMAL : LOW;
  }
}
