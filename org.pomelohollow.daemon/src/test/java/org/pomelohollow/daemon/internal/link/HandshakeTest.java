package org.pomelohollow.daemon.internal.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.Hello;

class HandshakeTest {
  private static final PeerSecret SECRET = PeerSecret.of("a secret for this test");
  private static final MemberId A = new MemberId("a", 1);
  private static final MemberId B = new MemberId("b", 1);

  @Test
  void peersWithTheSameSecretAcceptEachOther() {
    Handshake a = new Handshake(SECRET, A, true);
    Handshake b = new Handshake(SECRET, B, false);
    byte[] fromA = a.createProof(b.own());
    byte[] fromB = b.createProof(a.own());
    a.verifyProof(fromB);
    b.verifyProof(fromA);
    assertEquals(B, a.peer());
    assertEquals(A, b.peer());
  }

  @Test
  void aPeerWithAnotherSecretIsRejected() {
    Handshake a = new Handshake(SECRET, A, true);
    Handshake b = new Handshake(PeerSecret.of("some other secret"), B, false);
    a.createProof(b.own());
    byte[] fromB = b.createProof(a.own());
    assertRejected(() -> a.verifyProof(fromB));
  }

  @Test
  void aReflectedProofIsRejected() {
    Handshake a = new Handshake(SECRET, A, true);
    Hello mirrored = new Hello(Hello.VERSION, B, a.own().nonce());
    byte[] fromA = a.createProof(mirrored);
    assertRejected(() -> a.verifyProof(fromA));
  }

  @Test
  void aProofReplayedFromAnotherLinkIsRejected() {
    Handshake a1 = new Handshake(SECRET, A, true);
    Handshake b = new Handshake(SECRET, B, false);
    byte[] recorded = b.createProof(a1.own());
    Handshake a2 = new Handshake(SECRET, A, true);
    a2.createProof(b.own());
    assertRejected(() -> a2.verifyProof(recorded));
  }

  @Test
  void helloWithOtherVersionShortNonceOrOwnIdentityIsRejected() {
    Handshake a = new Handshake(SECRET, A, true);
    Bytes nonce = new Handshake(SECRET, B, false).own().nonce();
    assertRejected(() -> a.createProof(new Hello(Hello.VERSION + 1, B, nonce)));
    assertRejected(() -> a.createProof(new Hello(Hello.VERSION, B, Bytes.EMPTY)));
    assertRejected(() -> a.createProof(new Hello(Hello.VERSION, A, nonce)));
    assertRejected(() -> a.verifyProof(new byte[32]));
  }

  private static void assertRejected(Runnable r) {
    PomelohollowException e = assertThrows(PomelohollowException.class, r::run);
    assertEquals(ErrorCode.HANDSHAKE_FAILED, e.code());
  }
}
