package io.hornbeamfield.net.relay.internal;

import io.hornbeamfield.net.relay.Header;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Finds requests that an instance and a backend server could read in two ways. Grizzly accepts them; what it passes on
 * would end elsewhere, or carry other headers, for a server that reads them differently (RFC 9110, 5; RFC 9112, 6).
 */
final class RequestCheck {
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    private RequestCheck() {}

    /** Returns whether the headers leave no doubt about the host, the end of the body and each value. */
    static boolean isUnambiguous(List<Header> headers) {
        int lengths = 0;
        int codings = 0;
        int hosts = 0;
        for (Header h : headers) {
            if (!TOKEN.matcher(h.name()).matches() || hasControlCharacter(h.value())) {
                return false;
            }
            switch (h.name().toLowerCase(Locale.ROOT)) {
                case "content-length" -> lengths++;
                case "transfer-encoding" -> codings += h.value().trim().equalsIgnoreCase("chunked") ? 1 : 2;
                case "host" -> hosts++;
                default -> {
                    // Says nothing about where a request goes or ends.
                }
            }
        }
        return lengths + codings <= 1 && hosts <= 1;
    }

    private static boolean hasControlCharacter(String value) {
        return value.chars().anyMatch(c -> (c < ' ' && c != '\t') || c == 0x7f);
    }
}
