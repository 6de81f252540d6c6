package org.pomelohollow.decision;

import java.util.Objects;
import org.pomelohollow.decision.admission.AdmissionTerms;
import org.pomelohollow.decision.attempt.RetrySettings;
import org.pomelohollow.decision.config.DocumentFormat;
import org.pomelohollow.decision.quarantine.QuarantineSettings;
import org.pomelohollow.decision.quota.AccountRateLimiter;
import org.pomelohollow.decision.quota.QuotaController;
import org.pomelohollow.decision.quota.QuotaSettings;
import org.pomelohollow.model.MemberId;

/**
 * What differs between deployments in the decisions of a daemon.
 *
 * @param documents format of the operators' documents
 * @param admission how targets' daemons admit requests
 * @param retries bounds on extra attempts
 * @param quarantine bounds on suspicion
 * @param rates creates what keeps accounts within their rates
 * @param claims whether callers may mark resends of a request with a key
 * @param failsClosed whether requests with a key are refused while the document may be out of date
 */
public record NodeTerms(
    DocumentFormat documents,
    AdmissionTerms admission,
    RetrySettings retries,
    QuarantineSettings quarantine,
    RatesFactory rates,
    boolean claims,
    boolean failsClosed) {
  /** The product's own log, documents and idempotency keys. */
  public static final NodeTerms STANDARD =
      new NodeTerms(
          DocumentFormat.TOML,
          AdmissionTerms.STANDARD,
          RetrySettings.DEFAULT,
          QuarantineSettings.DEFAULT,
          (self, effects) -> new QuotaController(self, QuotaSettings.standard(), effects),
          true,
          true);

  /** Checks the fields. */
  public NodeTerms {
    Objects.requireNonNull(documents, "documents");
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(retries, "retries");
    Objects.requireNonNull(quarantine, "quarantine");
    Objects.requireNonNull(rates, "rates");
  }

  /** Creates what keeps accounts within their rates. */
  @FunctionalInterface
  public interface RatesFactory {
    /**
     * Creates the controller.
     *
     * @param self this daemon
     * @param effects takes what the controller asks for
     * @return the controller
     */
    AccountRateLimiter create(MemberId self, Effects effects);
  }
}
