package io.hornbeamfield.entry;

import io.hornbeamfield.net.relay.Header;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An answer as its caller understands it.
 *
 * @param body the body with its transfer coding removed, as far as it has arrived
 * @param complete whether the framing says that the answer is whole
 */
record ReceivedAnswer(int status, List<Header> headers, String body, boolean complete) {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Parses what a caller has received until its connection ended. */
    static ReceivedAnswer of(String text) {
        int headEnd = text.indexOf("\r\n\r\n");
        if (headEnd < 0) {
            return new ReceivedAnswer(0, List.of(), "", false);
        }
        String[] lines = text.substring(0, headEnd).split("\r\n");
        List<Header> headers = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            String[] field = lines[i].split(":", 2);
            headers.add(new Header(field[0], field[1].trim()));
        }
        int status = Integer.parseInt(lines[0].split(" ")[1]);
        String rest = text.substring(headEnd + 4);
        String length = Header.find(headers, "Content-Length").orElse("");
        if (Header.find(headers, "Transfer-Encoding").isPresent()) {
            return chunked(status, headers, rest);
        }
        boolean reset = rest.endsWith("]") && rest.toLowerCase(Locale.ROOT).contains("[connection reset");
        boolean whole = length.isEmpty() ? !reset : Integer.parseInt(length) == rest.length();
        return new ReceivedAnswer(status, headers, rest, whole);
    }

    private static ReceivedAnswer chunked(int status, List<Header> headers, String rest) {
        StringBuilder body = new StringBuilder();
        int at = 0;
        while (!rest.startsWith(LAST_CHUNK, at)) {
            int lineEnd = rest.indexOf("\r\n", at);
            int size = lineEnd < 0 ? -1 : Integer.parseInt(rest.substring(at, lineEnd), 16);
            if (size < 0 || lineEnd + 2 + size + 2 > rest.length()) {
                return new ReceivedAnswer(status, headers, body.toString(), false);
            }
            body.append(rest, lineEnd + 2, lineEnd + 2 + size);
            at = lineEnd + 2 + size + 2;
        }
        return new ReceivedAnswer(status, headers, body.toString(), at + LAST_CHUNK.length() == rest.length());
    }

    boolean isSigned() {
        return Header.find(headers, "X-Runner-Signature").isPresent();
    }
}
