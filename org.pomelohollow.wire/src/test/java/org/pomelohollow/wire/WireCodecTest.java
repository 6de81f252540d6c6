package org.pomelohollow.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.pomelohollow.decision.config.ConfigCheckpoint;
import org.pomelohollow.decision.config.ConfigProposal;
import org.pomelohollow.decision.config.ConfigState;
import org.pomelohollow.decision.config.ConfigTransfer;
import org.pomelohollow.decision.fairness.AccountDemand;
import org.pomelohollow.decision.fairness.DemandReport;
import org.pomelohollow.decision.fairness.DemandSummary;
import org.pomelohollow.decision.fairness.RankDemand;
import org.pomelohollow.decision.membership.Heartbeat;
import org.pomelohollow.decision.quota.LeaseAcknowledgement;
import org.pomelohollow.decision.quota.LeaseRenewal;
import org.pomelohollow.decision.quota.LoanAnswer;
import org.pomelohollow.decision.quota.LoanRequest;
import org.pomelohollow.decision.quota.PieceClaim;
import org.pomelohollow.decision.quota.PiecesClaimed;
import org.pomelohollow.decision.quota.QuotaPiece;
import org.pomelohollow.decision.rollout.RolloutAnnouncement;
import org.pomelohollow.decision.rollout.RolloutQuery;
import org.pomelohollow.decision.rollout.RolloutReport;
import org.pomelohollow.decision.rollout.RolloutState;
import org.pomelohollow.decision.rollout.RolloutStep;
import org.pomelohollow.decision.rollout.RolloutVerdict;
import org.pomelohollow.decision.rollout.RouteTotals;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.junit.RequestContexts;
import org.pomelohollow.message.PeerMessage;
import org.pomelohollow.model.AccountId;
import org.pomelohollow.model.Endpoint;
import org.pomelohollow.model.HeaderField;
import org.pomelohollow.model.Member;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.model.ServiceId;
import org.pomelohollow.model.TargetIncarnation;
import org.pomelohollow.model.TargetLoad;
import org.pomelohollow.model.TargetNotice;
import org.pomelohollow.model.TargetState;
import org.pomelohollow.model.ZoneId;

class WireCodecTest {
  private final WireCodec codec = new WireCodec();

  @Example
  void nestedRecordsAndOptionalsSurviveEncoding() {
    Member m =
        new Member(
            new MemberId("h1", 7),
            new Endpoint("127.0.0.1", 9),
            new ZoneId("a"),
            Optional.of(new TargetState(new ServiceId("s"), 4, 3, true, false)),
            false);
    Heartbeat h = new Heartbeat(m, 2, 12, 3, -5, 40, true, 9);
    assertEquals(h, codec.decodeMessage(codec.encode(h)));
  }

  @Example
  void configurationStateSurvivesEncoding() {
    ConfigState state = new ConfigState(2, "t", java.util.List.of("a", "b"), 7);
    ConfigTransfer t = new ConfigTransfer(state);
    assertEquals(t, codec.decodeMessage(codec.encode(t)));
    ConfigCheckpoint c = new ConfigCheckpoint(state);
    assertEquals(Optional.of(c), codec.decodeEntry(codec.encode(c)));
  }

  @Example
  void noticesOfTargetsSurviveEncoding() {
    TargetIncarnation t = new TargetIncarnation("i-1", 1_764_000_000_000L);
    for (Optional<TargetNotice> n :
        List.of(
            Optional.<TargetNotice>empty(),
            Optional.of(new TargetNotice(t, Optional.of(8.8), false)),
            Optional.of(new TargetNotice(t, Optional.empty(), true)))) {
      ResponseHead r =
          new ResponseHead(200, List.of(new HeaderField("a", "b")), TargetLoad.UNKNOWN, n);
      assertEquals(r, codec.decode(ResponseHead.class, codec.encode(r)));
      AttemptHead a =
          AttemptHead.of(
                  RequestContexts.of("r", true),
                  0,
                  false,
                  "GET",
                  "/",
                  List.of(),
                  Optional.empty(),
                  Bytes.of(new byte[3]))
              .withNotice(n);
      assertEquals(a, codec.decode(AttemptHead.class, codec.encode(a)));
    }
  }

  /** A home gets up to 200 reports a second and replies to each. */
  @Example
  void demandMessagesSurviveEncodingAndStaySmall() {
    ServiceId s = new ServiceId("service-0123");
    List<AccountDemand> demands =
        IntStream.range(0, 24)
            .mapToObj(i -> new AccountDemand(new AccountId("account-" + (1_000 + i)), 2, 7.25 + i))
            .toList();
    List<AccountDemand> counts = demands.subList(0, DemandReport.MAX_DEMANDS);
    assertSurvivesEncodingWithin(new DemandReport(s, counts), 420);
    assertSurvivesEncodingWithin(
        new DemandSummary(s, List.of(new RankDemand(1, 812.5, 72)), demands), 640);
    assertThrows(IllegalArgumentException.class, () -> new DemandReport(s, demands));
  }

  @Example
  void messagesOfVersionUpgradesSurviveEncoding() {
    ServiceId s = new ServiceId("s");
    RouteTotals t = new RouteTotals("r", 7, 2, List.of(0L, 3L), List.of());
    for (PeerMessage m :
        List.of(
            new RolloutReport(s, "17/v2/12000", "v2", 3, 5, 32, List.of(t)),
            new RolloutAnnouncement(
                s, "17/v2/12000", RolloutStep.QUARTER, 0.25, 2, List.of("h1"), true, 7_000),
            new RolloutVerdict(s, "17/v2/12000", RolloutState.ROLLED_BACK, true, 8_000),
            new RolloutQuery(s, "17/v2/12000"))) {
      assertEquals(m, codec.decodeMessage(codec.encode(m)));
    }
  }

  /** Guards against members that are lost while daemons of an earlier release are in service. */
  @Example
  void theStateOfATargetWithoutAVersionIsDecoded() {
    TargetState t = new TargetState(new ServiceId("s"), 4, 3, true, false, Optional.of("v1"));
    Member m =
        new Member(
            new MemberId("h1", 7),
            new Endpoint("127.0.0.1", 9),
            new ZoneId("a"),
            Optional.of(t),
            false);
    byte[] b = codec.encode(new Heartbeat(m, 2, 12, 3, -5, 40, true, 9));
    byte[] earlier = withoutVersion(b);
    Member decoded = ((Heartbeat) codec.decodeMessage(earlier)).member();
    TargetState expected = new TargetState(new ServiceId("s"), 4, 3, true, false);
    assertEquals(Optional.of(expected), decoded.target());
    assertEquals(m.id(), decoded.id());
  }

  /** Removes the sixth element of the array of the target's state, "v1", from an encoding. */
  private static byte[] withoutVersion(byte[] b) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    byte[] version = {(byte) 0xa2, 'v', '1'};
    int at = indexOf(b, version);
    int array = at - 1;
    while (b[array] != (byte) 0x96) {
      array--;
    }
    for (int i = 0; i < b.length; i++) {
      if (i == array) {
        out.write(0x95);
      } else if (i < at || i >= at + version.length) {
        out.write(b[i]);
      }
    }
    return out.toByteArray();
  }

  private static int indexOf(byte[] b, byte[] part) {
    int i = 0;
    while (!Arrays.equals(Arrays.copyOfRange(b, i, i + part.length), part)) {
      i++;
    }
    return i;
  }

  @Example
  void aLogEntryIsNotAPeerMessage() {
    byte[] b = codec.encode(new ConfigProposal("c", 0, "t"));
    PomelohollowException e =
        assertThrows(PomelohollowException.class, () -> codec.decodeMessage(b));
    assertEquals(ErrorCode.WIRE_MALFORMED, e.code());
  }

  @Example
  void quotaMessagesSurviveEncodingAndStaySmall() {
    QuotaPiece p = new QuotaPiece(new AccountId("account-0123"), 2);
    MemberId m = new MemberId("host-0123", 1_764_000_000_000L);
    assertSurvivesEncodingWithin(new LeaseRenewal(1_000_000), 16);
    assertSurvivesEncodingWithin(new LeaseAcknowledgement(1_000_000), 16);
    assertSurvivesEncodingWithin(
        new LoanRequest(p, 1_000_000, 1.5, 20.25, 3.125, 0.1, 750_000_000L), 80);
    assertSurvivesEncodingWithin(
        new LoanAnswer(p, 1_000_000, 3.125, 20.25, 40.1, 12, true, Optional.of(m)), 80);
    PieceClaim c = new PieceClaim(p, m, Optional.of(m), PieceClaim.Kind.TAKEN, 0);
    PiecesClaimed claims = new PiecesClaimed(m, 1, 10_000, List.of(c));
    byte[] b = codec.encode(claims);
    assertEquals(Optional.of(claims), codec.decodeEntry(b));
    assertTrue(b.length <= 128, "bytes " + b.length);
  }

  private void assertSurvivesEncodingWithin(PeerMessage m, int maxBytes) {
    byte[] b = codec.encode(m);
    assertEquals(m, codec.decodeMessage(b));
    assertTrue(b.length <= maxBytes, m + " takes " + b.length + " bytes");
    if (Boolean.getBoolean("pomelohollow.measure")) {
      System.out.println(m.getClass().getSimpleName() + " | " + b.length + " bytes");
    }
  }

  @Property(seed = "1", tries = 2000)
  void everyInputIsDecodedOrRejected(@ForAll byte[] input) {
    try {
      codec.decodeMessage(input);
    } catch (PomelohollowException e) {
      assertEquals(ErrorCode.WIRE_MALFORMED, e.code());
    }
  }

  @Property(seed = "2", tries = 500)
  void aTruncatedEntryIsRejected(
      @ForAll @net.jqwik.api.constraints.IntRange(max = 60) int keptBytes) {
    byte[] b =
        codec.encode(
            new ConfigProposal("change-1", 0, "name = \"a document that is rather long here\""));
    if (keptBytes < b.length) {
      assertEquals(Optional.empty(), codec.decodeEntry(Arrays.copyOf(b, keptBytes)));
    }
  }
}
