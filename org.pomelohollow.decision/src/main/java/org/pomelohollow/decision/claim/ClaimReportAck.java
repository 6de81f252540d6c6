package org.pomelohollow.decision.claim;

import java.util.Objects;
import org.pomelohollow.message.PeerMessage;

/**
 * Acknowledges a {@link ClaimReport}.
 *
 * @param id identity of the claim
 */
public record ClaimReportAck(ClaimId id) implements PeerMessage {
  /** Checks the field. */
  public ClaimReportAck {
    Objects.requireNonNull(id, "id");
  }
}
