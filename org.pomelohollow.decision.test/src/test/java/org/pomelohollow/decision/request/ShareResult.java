package org.pomelohollow.decision.request;

import java.util.Collection;

/** What the callers of an account got, for requests first sent in the measured time. */
final class ShareResult {
  int offered;
  int served;
  int inTime;
  int refusedOnce;
  int refusedTwice;

  /** Longest time from an attempt's arrival until its refusal, in nanoseconds. */
  long longestRefusalNanos;

  double servedShare() {
    return (double) served / Math.max(1, offered);
  }

  static ShareResult sum(Collection<ShareResult> l) {
    ShareResult out = new ShareResult();
    for (ShareResult r : l) {
      out.offered += r.offered;
      out.served += r.served;
      out.inTime += r.inTime;
      out.refusedOnce += r.refusedOnce;
      out.refusedTwice += r.refusedTwice;
      out.longestRefusalNanos = Math.max(out.longestRefusalNanos, r.longestRefusalNanos);
    }
    return out;
  }

  @Override
  public String toString() {
    return String.format(
        "offered %d served %.3f in time %.3f refused once %.3f twice %.3f slowest refusal %d ms",
        offered,
        servedShare(),
        (double) inTime / Math.max(1, offered),
        (double) refusedOnce / Math.max(1, offered),
        (double) refusedTwice / Math.max(1, offered),
        longestRefusalNanos / 1_000_000);
  }
}
