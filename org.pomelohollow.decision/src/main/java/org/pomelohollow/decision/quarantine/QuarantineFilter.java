package org.pomelohollow.decision.quarantine;

import java.util.Optional;
import org.pomelohollow.decision.request.Exchange;
import org.pomelohollow.decision.request.Filter;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.model.Verdict;

/** Refuses requests whose fingerprint is in quarantine, at the entry daemon. */
public final class QuarantineFilter implements Filter {
  private final QuarantineController quarantine;

  /**
   * Creates a filter.
   *
   * @param quarantine source of the fingerprints in quarantine
   */
  public QuarantineFilter(QuarantineController quarantine) {
    this.quarantine = quarantine;
  }

  @Override
  public void apply(Exchange x, long nowNanos, Chain next) {
    Optional<Long> millis =
        quarantine.remainingQuarantineMillis(x.context().fingerprint(), nowNanos);
    if (millis.isPresent()) {
      x.refuse(new Verdict.NotRun(ErrorCode.QUARANTINED, millis.get()));
      return;
    }
    next.proceed(x, nowNanos);
  }
}
