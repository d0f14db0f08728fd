package io.hornbeamfield.net.http.internal;

import java.nio.charset.StandardCharsets;

/** JSON bodies of the error responses that the server itself sends. */
final class ErrorBodies {
    private ErrorBodies() {}

    static byte[] error(String detail) {
        String escaped = detail.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ");
        return ("{\"detail\":\"" + escaped + "\"}").getBytes(StandardCharsets.UTF_8);
    }
}
