package org.pomelohollow.daemon.internal.link;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.pomelohollow.daemon.settings.PeerSecret;
import org.pomelohollow.errors.ErrorCode;
import org.pomelohollow.errors.PomelohollowException;
import org.pomelohollow.model.MemberId;
import org.pomelohollow.wire.Bytes;
import org.pomelohollow.wire.Hello;

/**
 * Mutual challenge-response authentication of one link. Each side sends an HMAC-SHA256 over its
 * role, both identities and both nonces, so that a proof can neither be reflected to its sender nor
 * be replayed on another link.
 */
final class Handshake {
  private static final String ALGORITHM = "HmacSHA256";
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerSecret secret;
  private final Hello own;
  private final boolean initiator;
  private Hello peer;

  Handshake(PeerSecret secret, MemberId self, boolean initiator) {
    this.secret = secret;
    this.initiator = initiator;
    byte[] nonce = new byte[Hello.NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    this.own = new Hello(Hello.VERSION, self, Bytes.of(nonce));
  }

  /** Returns the hello message to send. */
  Hello own() {
    return own;
  }

  /** Returns the identity in the peer's hello message, which must have been received. */
  MemberId peer() {
    return peer.member();
  }

  /** Checks the peer's hello message and returns the proof to send. */
  byte[] createProof(Hello h) {
    if (peer != null) {
      throw failure("received a second hello from " + h.member());
    }
    if (h.version() != Hello.VERSION) {
      throw failure("unsupported protocol version " + h.version() + ", expected " + Hello.VERSION);
    }
    if (h.nonce().length() != Hello.NONCE_BYTES) {
      throw failure("nonce has " + h.nonce().length() + " bytes, expected " + Hello.NONCE_BYTES);
    }
    if (h.member().equals(own.member())) {
      throw failure("peer has the identity of this daemon, " + own.member());
    }
    peer = h;
    return proof(initiator, own, peer);
  }

  /** Checks the peer's proof; throws if it is wrong. */
  void verifyProof(byte[] peerProof) {
    if (peer == null) {
      throw failure("received a proof before the hello");
    }
    if (!MessageDigest.isEqual(peerProof, proof(!initiator, peer, own))) {
      throw failure("wrong proof from " + peer.member());
    }
  }

  private byte[] proof(boolean byInitiator, Hello prover, Hello verifier) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret.bytes(), ALGORITHM));
      mac.update((byte) (byInitiator ? 1 : 2));
      update(mac, prover);
      update(mac, verifier);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime has the algorithm " + ALGORITHM, e);
    }
  }

  private static void update(Mac mac, Hello h) {
    byte[] host = h.member().host().getBytes(StandardCharsets.UTF_8);
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(host.length).flip());
    mac.update(host);
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(h.member().incarnation()).flip());
    mac.update(h.nonce().array());
  }

  private static PomelohollowException failure(String why) {
    return new PomelohollowException(ErrorCode.HANDSHAKE_FAILED, why);
  }
}
