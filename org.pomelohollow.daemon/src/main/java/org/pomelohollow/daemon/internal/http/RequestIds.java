package org.pomelohollow.daemon.internal.http;

import org.pomelohollow.model.MemberId;

/** Identifiers of calls, unique over all daemons and their runs. */
final class RequestIds {
  private final String prefix;
  private long count;

  RequestIds(MemberId self) {
    prefix = self.host() + "-" + Long.toString(self.incarnation(), Character.MAX_RADIX) + "-";
  }

  String next() {
    return prefix + Long.toString(++count, Character.MAX_RADIX);
  }
}
