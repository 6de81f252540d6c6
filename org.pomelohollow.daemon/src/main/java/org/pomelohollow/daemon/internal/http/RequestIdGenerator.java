package org.pomelohollow.daemon.internal.http;

import org.pomelohollow.model.MemberId;

/** Generates request identifiers that are unique among all daemons and their incarnations. */
final class RequestIdGenerator {
  private final String prefix;
  private long count;

  RequestIdGenerator(MemberId self) {
    prefix = self.host() + "-" + Long.toString(self.incarnation(), Character.MAX_RADIX) + "-";
  }

  String next() {
    return prefix + Long.toString(++count, Character.MAX_RADIX);
  }
}
