package org.pomelohollow.decision.rollout;

import java.util.List;
import java.util.Objects;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.ServiceId;

/**
 * Share of the traffic that a new version gets, which the first evaluator announces to all members.
 *
 * @param service the service
 * @param orderId identity of the order
 * @param step step of the roll-out
 * @param share share of the requests for targets of the new version, 0 to 1
 * @param rotation number of changes of the targets that get the canary's requests
 * @param avoidedHosts hosts whose targets of the new version get nothing while there are others
 * @param goodSoFar whether the new version may serve if no old target is left
 * @param elapsedMillis time since the order, as far as the evaluator knows, in milliseconds
 */
public record RolloutAnnouncement(
    ServiceId service,
    String orderId,
    RolloutStep step,
    double share,
    int rotation,
    List<String> avoidedHosts,
    boolean goodSoFar,
    long elapsedMillis)
    implements PeerMessage {
  /** Copies the list. */
  public RolloutAnnouncement {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(orderId, "orderId");
    Objects.requireNonNull(step, "step");
    avoidedHosts = List.copyOf(avoidedHosts);
  }
}
