package org.pomelohollow.decision;

import java.util.Objects;
import org.pomelohollow.decision.admission.AdmissionSettings;
import org.pomelohollow.decision.attempt.RetrySettings;
import org.pomelohollow.decision.config.DocumentFormat;
import org.pomelohollow.decision.quarantine.QuarantineSettings;
import org.pomelohollow.decision.quota.AccountRateLimiter;
import org.pomelohollow.decision.quota.QuotaController;
import org.pomelohollow.decision.quota.QuotaSettings;
import org.pomelohollow.decision.rollout.RolloutSettings;
import org.pomelohollow.model.MemberId;

/**
 * Deployment-specific settings of a daemon's decision logic.
 *
 * @param documentFormat format of the operators' configuration documents
 * @param admission settings of admission at the daemon of a target
 * @param retries bounds on retries
 * @param quarantine bounds on the suspicion and quarantine of requests
 * @param rateLimiterFactory creates the rate limiter of client accounts
 * @param claimsEnabled whether callers may mark resends of a request with an idempotency key
 * @param failsClosed whether requests that need an API key are refused while the configuration may
 *     be out of date
 * @param rollouts bounds on what a bad version of a service may get
 */
public record NodeSettings(
    DocumentFormat documentFormat,
    AdmissionSettings admission,
    RetrySettings retries,
    QuarantineSettings quarantine,
    RateLimiterFactory rateLimiterFactory,
    boolean claimsEnabled,
    boolean failsClosed,
    RolloutSettings rollouts) {
  /** Settings for the product's own log and documents, with idempotency keys. */
  public static final NodeSettings DEFAULT =
      new NodeSettings(
          DocumentFormat.TOML,
          AdmissionSettings.STANDARD,
          RetrySettings.DEFAULT,
          QuarantineSettings.DEFAULT,
          (self, effects) -> new QuotaController(self, QuotaSettings.standard(), effects),
          true,
          true,
          RolloutSettings.DEFAULT);

  /** Checks the fields. */
  public NodeSettings {
    Objects.requireNonNull(documentFormat, "documentFormat");
    Objects.requireNonNull(admission, "admission");
    Objects.requireNonNull(retries, "retries");
    Objects.requireNonNull(quarantine, "quarantine");
    Objects.requireNonNull(rateLimiterFactory, "rateLimiterFactory");
    Objects.requireNonNull(rollouts, "rollouts");
  }

  /** Creates the controller that limits the request rates of client accounts. */
  @FunctionalInterface
  public interface RateLimiterFactory {
    /**
     * Creates a controller.
     *
     * @param self this daemon
     * @param effects receives the controller's effects
     * @return the controller
     */
    AccountRateLimiter create(MemberId self, EffectSink effects);
  }
}
