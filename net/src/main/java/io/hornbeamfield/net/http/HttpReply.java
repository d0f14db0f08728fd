package io.hornbeamfield.net.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A complete HTTP response. Header names are in lower case. */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns whether the status is in the range 200 to 299. */
    public boolean isSuccess() {
        return status / 100 == 2;
    }
}
