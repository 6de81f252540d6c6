package org.pomelohollow.bench.overload;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;

/** Kinds of requests in the mix, the most important first. */
enum Kind {
  /** A reservation: not idempotent, with an idempotency key. */
  CRITICAL("POST", 0.15),
  /** A read. */
  NORMAL("GET", 0.6),
  /** A read that can wait. */
  LOW("GET", 0.25);

  private final String method;
  private final double share;

  Kind(String method, double share) {
    this.method = method;
    this.share = share;
  }

  HttpMethod method() {
    return HttpMethod.valueOf(method);
  }

  /** Returns the share of all requests. */
  double share() {
    return share;
  }

  String path(String service) {
    return "/" + service + "/" + name().toLowerCase(Locale.ROOT);
  }

  /** Chooses a kind by its share from a number from 0 to 1. */
  static Kind of(double u) {
    if (u < CRITICAL.share) {
      return CRITICAL;
    }
    return u < CRITICAL.share + NORMAL.share ? NORMAL : LOW;
  }
}
