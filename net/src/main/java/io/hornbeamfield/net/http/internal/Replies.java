package io.hornbeamfield.net.http.internal;

import java.nio.charset.StandardCharsets;

/** Bodies of the server's own error responses. */
final class Replies {
    private Replies() {}

    static byte[] error(String detail) {
        String escaped = detail.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ");
        return ("{\"detail\":\"" + escaped + "\"}").getBytes(StandardCharsets.UTF_8);
    }
}
