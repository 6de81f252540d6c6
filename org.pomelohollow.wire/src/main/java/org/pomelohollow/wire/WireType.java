package org.pomelohollow.wire;

import org.pomelohollow.decision.claim.ClaimReply;
import org.pomelohollow.decision.claim.ClaimReport;
import org.pomelohollow.decision.claim.ClaimReportAck;
import org.pomelohollow.decision.claim.ClaimRequest;
import org.pomelohollow.decision.claim.RingCheckpoint;
import org.pomelohollow.decision.claim.RingFetch;
import org.pomelohollow.decision.claim.RingProposal;
import org.pomelohollow.decision.claim.RingTransfer;
import org.pomelohollow.decision.claim.ShardFetch;
import org.pomelohollow.decision.claim.ShardTransfer;
import org.pomelohollow.decision.config.ConfigCheckpoint;
import org.pomelohollow.decision.config.ConfigFetch;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.decision.config.ConfigRestore;
import org.pomelohollow.decision.config.ConfigTransfer;
import org.pomelohollow.decision.fairness.DemandReport;
import org.pomelohollow.decision.fairness.DemandSummary;
import org.pomelohollow.decision.membership.Heartbeat;
import org.pomelohollow.decision.membership.MemberJoined;
import org.pomelohollow.decision.membership.MemberLeft;
import org.pomelohollow.decision.membership.Rumours;
import org.pomelohollow.decision.membership.SyncRequest;
import org.pomelohollow.decision.quarantine.SuspectsHeard;
import org.pomelohollow.decision.quota.LeaseAcknowledgement;
import org.pomelohollow.decision.quota.LeaseRenewal;
import org.pomelohollow.decision.quota.LoanAnswer;
import org.pomelohollow.decision.quota.LoanRequest;
import org.pomelohollow.decision.quota.PiecesClaimed;
import org.pomelohollow.decision.rates.TokenGrant;
import org.pomelohollow.decision.rates.TokenRequest;
import org.pomelohollow.decision.rollout.RolloutAnnouncement;
import org.pomelohollow.decision.rollout.RolloutQuery;
import org.pomelohollow.decision.rollout.RolloutReport;
import org.pomelohollow.decision.rollout.RolloutVerdict;

/**
 * Type numbers of messages and log entries on the wire. The number of a removed type is not reused.
 */
enum WireType {
  HEARTBEAT(1, Heartbeat.class),
  RUMOURS(30, Rumours.class),
  SYNC_REQUEST(31, SyncRequest.class),
  CONFIG_FETCH(2, ConfigFetch.class),
  CONFIG_TRANSFER(3, ConfigTransfer.class),
  ATTEMPT_HEAD(4, AttemptHead.class),
  RESPONSE_HEAD(5, ResponseHead.class),
  ATTEMPT_FAILURE(6, AttemptFailure.class),
  LOG_SLICE(7, LogSlice.class),
  HELLO(8, Hello.class),
  LOAN_REQUEST(20, LoanRequest.class),
  LOAN_ANSWER(21, LoanAnswer.class),
  LEASE_RENEWAL(22, LeaseRenewal.class),
  LEASE_ACKNOWLEDGEMENT(23, LeaseAcknowledgement.class),
  CLAIM_REQUEST(40, ClaimRequest.class),
  CLAIM_REPLY(41, ClaimReply.class),
  CLAIM_REPORT(42, ClaimReport.class),
  CLAIM_REPORT_ACK(43, ClaimReportAck.class),
  SHARD_FETCH(44, ShardFetch.class),
  SHARD_TRANSFER(45, ShardTransfer.class),
  RING_FETCH(46, RingFetch.class),
  RING_TRANSFER(47, RingTransfer.class),
  SUSPECTS_HEARD(50, SuspectsHeard.class),
  TOKEN_REQUEST(60, TokenRequest.class),
  TOKEN_GRANT(61, TokenGrant.class),
  DEMAND_REPORT(80, DemandReport.class),
  DEMAND_SUMMARY(81, DemandSummary.class),
  ROLLOUT_REPORT(70, RolloutReport.class),
  ROLLOUT_ANNOUNCEMENT(71, RolloutAnnouncement.class),
  ROLLOUT_VERDICT(72, RolloutVerdict.class),
  ROLLOUT_QUERY(73, RolloutQuery.class),

  MEMBER_JOINED(100, MemberJoined.class),
  MEMBER_LEFT(130, MemberLeft.class),
  CONFIG_PROPOSAL(101, ConfigProposal.class),
  CONFIG_CHECKPOINT(110, ConfigCheckpoint.class),
  CONFIG_RESTORE(111, ConfigRestore.class),
  PIECES_CLAIMED(120, PiecesClaimed.class),
  RING_PROPOSAL(140, RingProposal.class),
  RING_CHECKPOINT(141, RingCheckpoint.class);

  private final int number;
  private final Class<? extends Record> type;

  WireType(int number, Class<? extends Record> type) {
    this.number = number;
    this.type = type;
  }

  int number() {
    return number;
  }

  Class<? extends Record> type() {
    return type;
  }
}
