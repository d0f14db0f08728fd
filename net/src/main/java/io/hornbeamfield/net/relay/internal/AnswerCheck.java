package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.Header;
import java.util.List;
import java.util.Locale;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;

/**
 * Detects answers whose head does not say clearly where they end. Grizzly accepts them, takes the first of two lengths
 * and reads an answer of an unknown transfer coding as it is to the end of its connection, so that an answer that ends
 * early could look whole (RFC 9112, section 6.3).
 */
final class AnswerCheck {
    private AnswerCheck() {}

    /** Returns whether the head is valid and determines the end of the body. */
    static boolean hasClearEnd(HttpResponsePacket head, List<Header> headers) {
        Protocol version = head.getProtocol();
        if (version != Protocol.HTTP_1_1 && version != Protocol.HTTP_1_0) {
            return false;
        }
        int lengths = 0;
        int codings = 0;
        for (Header h : headers) {
            if (!RequestCheck.isValid(h)) {
                return false;
            }
            switch (h.name().toLowerCase(Locale.ROOT)) {
                case "content-length" -> lengths++;
                case "transfer-encoding" -> codings += h.value().trim().equalsIgnoreCase("chunked") ? 1 : 2;
                case "upgrade" -> {
                    // Grizzly does not decode the body of an answer that offers another protocol.
                    return false;
                }
                default -> {
                    // Other headers do not affect the framing of an answer.
                }
            }
        }
        return codings == 0 ? lengths <= 1 : codings == 1 && version == Protocol.HTTP_1_1;
    }
}
