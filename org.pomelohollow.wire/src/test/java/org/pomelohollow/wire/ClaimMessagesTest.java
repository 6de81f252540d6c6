package org.pomelohollow.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.pomelohollow.decision.claim.ClaimId;
import org.pomelohollow.decision.claim.ClaimKey;
import org.pomelohollow.decision.claim.ClaimRecord;
import org.pomelohollow.decision.claim.ClaimReply;
import org.pomelohollow.decision.claim.ClaimReport;
import org.pomelohollow.decision.claim.ClaimReportAck;
import org.pomelohollow.decision.claim.ClaimRequest;
import org.pomelohollow.decision.claim.ClaimState;
import org.pomelohollow.decision.claim.ShardTransfer;
import org.pomelohollow.decision.guard.RecordedResponse;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;

class ClaimMessagesTest {
  private static final String REQUEST_ID = "0123456789abcdef0123456789abcdef";
  private static final ClaimKey KEY =
      new ClaimKey(
          Optional.of(new AccountId("hotel-17")), new ServiceId("orderbook"), "8c6f-1f0a-order-1");
  private static final ClaimId ID = new ClaimId(new MemberId("host-123", 1_796_000_000_000L), 77);
  private static final RecordedResponse RESPONSE =
      new RecordedResponse(201, List.of(), "A".repeat(1_000));

  private final WireCodec codec = new WireCodec();

  private int encodedSize(PeerMessage m) {
    byte[] b = codec.encode(m);
    assertEquals(m, codec.decodeMessage(b));
    return b.length;
  }

  @Example
  void claimMessagesSurviveEncodingAndStaySmall() {
    ClaimRecord r =
        new ClaimRecord(KEY, -5, REQUEST_ID, ID, 9, ClaimState.RAN, Optional.of(RESPONSE));
    encodedSize(new ShardTransfer(3, 4, Optional.of(KEY), List.of(r), true));
    encodedSize(new ClaimReply(ID, 4, 5, ClaimReply.Decision.TAKEN, Optional.of(r)));
    int perWitness =
        encodedSize(new ClaimRequest(4, KEY, -5, REQUEST_ID, ID))
            + encodedSize(new ClaimReply(ID, 4, 4, ClaimReply.Decision.GRANTED, Optional.empty()))
            + encodedSize(new ClaimReport(KEY, ID, ClaimState.RAN, Optional.of(RESPONSE)))
            + encodedSize(new ClaimReportAck(ID));
    assertTrue(perWitness <= 1_300, perWitness + " bytes");
  }
}
