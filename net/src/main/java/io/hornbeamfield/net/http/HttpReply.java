package io.hornbeamfield.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A complete HTTP response. Header names are in lower case.
 *
 * @param bodyMs time in milliseconds from the arrival of the head to that of the whole body
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body, long bodyMs) {

    /** Creates a response whose body has arrived with its head. */
    public HttpReply(int status, Map<String, String> headers, byte[] body) {
        this(status, headers, body, 0);
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether the status is in the range 200 to 299. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
