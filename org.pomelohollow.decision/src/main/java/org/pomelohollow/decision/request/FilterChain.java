package org.pomelohollow.decision.request;

import java.util.List;

/** An ordered chain of filters through which requests pass. */
public final class FilterChain {
  private final Filter.Chain first;

  /**
   * Creates a chain.
   *
   * @param filters filters in order; the last one must end every request
   */
  public FilterChain(List<Filter> filters) {
    Filter.Chain c =
        (x, now) -> {
          throw new IllegalStateException("the last filter did not end request " + x.head());
        };
    for (int i = filters.size() - 1; i >= 0; i--) {
      c = link(filters.get(i), c);
    }
    first = c;
  }

  /**
   * Passes a request to the first filter.
   *
   * @param x the request
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void start(Exchange x, long nowNanos) {
    first.proceed(x, nowNanos);
  }

  private static Filter.Chain link(Filter f, Filter.Chain next) {
    return (x, now) -> {
      if (!x.hasEnded()) {
        f.apply(x, now, next);
      }
    };
  }
}
