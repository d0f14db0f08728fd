package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.Header;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Detects requests that an instance and a backend server could parse differently (request smuggling). Grizzly accepts
 * them, but a server that parses them differently would see another end of the body or other headers (RFC 9110, section
 * 5; RFC 9112, section 6).
 */
final class RequestCheck {
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private RequestCheck() {}

    /** Returns whether the headers determine the host, the end of the body and each value unambiguously. */
    static boolean isUnambiguous(List<Header> headers) {
        int lengths = 0;
        int codings = 0;
        int hosts = 0;
        for (Header h : headers) {
            if (!isValid(h)) {
                return false;
            }
            switch (h.name().toLowerCase(Locale.ROOT)) {
                case "content-length" -> lengths++;
                case "transfer-encoding" -> codings += h.value().trim().equalsIgnoreCase("chunked") ? 1 : 2;
                case "host" -> hosts++;
                default -> {
                    // Other headers affect neither the routing nor the framing of a request.
                }
            }
        }
        return lengths + codings <= 1 && hosts <= 1;
    }

    /** Returns whether the name is a token and the value is on one line and without control characters. */
    static boolean isValid(Header header) {
        return TOKEN.matcher(header.name()).matches() && !hasControlCharacter(header.value());
    }

    private static boolean hasControlCharacter(String value) {
        return value.chars().anyMatch(c -> (c < ' ' && c != '\t') || c == 0x7f);
    }
}
