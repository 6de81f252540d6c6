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
 * Mutual challenge and response of one link. Each side sends an HMAC-SHA256 over its role, both
 * identities and both nonces, so that no proof can be sent back or used on another link.
 */
final class Handshake {
  private static final String ALGORITHM = "HmacSHA256";
  private static final SecureRandom RANDOM = new SecureRandom();

  private final PeerSecret secret;
  private final Hello own;
  private final boolean dialer;
  private Hello peer;

  Handshake(PeerSecret secret, MemberId self, boolean dialer) {
    this.secret = secret;
    this.dialer = dialer;
    byte[] nonce = new byte[Hello.NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    this.own = new Hello(Hello.VERSION, self, Bytes.of(nonce));
  }

  Hello own() {
    return own;
  }

  MemberId peer() {
    return peer.member();
  }

  /** Takes the peer's first message and returns the proof to send. */
  byte[] answer(Hello h) {
    if (peer != null) {
      throw failed("a second hello");
    }
    if (h.version() != Hello.VERSION) {
      throw failed("version " + h.version() + " is not spoken here");
    }
    if (h.nonce().length() != Hello.NONCE_BYTES) {
      throw failed("a nonce of " + h.nonce().length() + " bytes");
    }
    if (h.member().equals(own.member())) {
      throw failed("a link to itself");
    }
    peer = h;
    return proof(dialer, own, peer);
  }

  /** Checks the peer's proof. */
  void verify(byte[] theirs) {
    if (peer == null) {
      throw failed("a proof before the hello");
    }
    if (!MessageDigest.isEqual(theirs, proof(!dialer, peer, own))) {
      throw failed("a wrong proof from " + peer.member());
    }
  }

  private byte[] proof(boolean byDialer, Hello prover, Hello verifier) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret.bytes(), ALGORITHM));
      mac.update((byte) (byDialer ? 1 : 2));
      update(mac, prover);
      update(mac, verifier);
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + ALGORITHM, e);
    }
  }

  private static void update(Mac mac, Hello h) {
    byte[] host = h.member().host().getBytes(StandardCharsets.UTF_8);
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(host.length).flip());
    mac.update(host);
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(h.member().incarnation()).flip());
    mac.update(h.nonce().array());
  }

  private static PomelohollowException failed(String why) {
    return new PomelohollowException(ErrorCode.HANDSHAKE_FAILED, why);
  }
}
