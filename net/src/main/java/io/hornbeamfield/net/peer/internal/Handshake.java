package io.hornbeamfield.net.peer.internal;

import io.hornbeamfield.net.peer.PeerIdentity;
import io.hornbeamfield.net.peer.PeerMessage.Hello;
import io.hornbeamfield.net.peer.PeerMessage.Proof;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual proof of the shared secret. Each side signs the other side's nonce and incarnation together with its own
 * incarnation. If the prover's incarnation were not signed, a process that does not know the secret could present a
 * proof that it obtained from a third router.
 */
final class Handshake {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec secret;
    private final Hello own;

    Handshake(String secret, PeerIdentity identity) {
        this.secret = new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
        byte[] nonce = new byte[16];
        RANDOM.nextBytes(nonce);
        this.own = new Hello(
                identity.incarnation(),
                identity.instanceId(),
                identity.zone(),
                identity.callerAddress(),
                HexFormat.of().formatHex(nonce));
    }

    Hello hello() {
        return own;
    }

    Proof proofFor(Hello other) {
        return new Proof(sign(other, own));
    }

    boolean verify(Hello other, Proof proof) {
        byte[] expected = sign(own, other).getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, proof.hmac().getBytes(StandardCharsets.UTF_8));
    }

    private String sign(Hello verifier, Hello prover) {
        String text = verifier.nonce() + "\n" + verifier.incarnation() + "\n" + prover.incarnation();
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("The Java runtime does not provide " + ALGORITHM + ".", e);
        }
    }
}
