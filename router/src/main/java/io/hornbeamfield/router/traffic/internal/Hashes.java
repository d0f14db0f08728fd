package io.hornbeamfield.router.traffic.internal;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Hashes of keys and request contents. */
final class Hashes {
    private Hashes() {}

    /** Returns the lower-case hexadecimal SHA-256 of a text. */
    static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Returns the SHA-256 fingerprint of a request: method and target, each preceded by its length, and body. */
    static String fingerprint(String method, String target, byte[] body) {
        return Hashing.sha256()
                .newHasher()
                .putInt(method.length())
                .putUnencodedChars(method)
                .putInt(target.length())
                .putUnencodedChars(target)
                .putBytes(body)
                .hash()
                .toString();
    }

    /** Returns the hexadecimal HMAC-SHA256 of a text. */
    static String hmac(String secret, String text) {
        return Hashing.hmacSha256(secret.getBytes(StandardCharsets.UTF_8))
                .hashString(text, StandardCharsets.UTF_8)
                .toString();
    }
}
