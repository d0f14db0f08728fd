package io.hornbeamfield.standins.raw;

import java.nio.charset.StandardCharsets;

/**
 * The bytes of a response, whole or cut, and how its connection ends afterwards.
 *
 * <pre>{@code
 * RawResponse.ended("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello", RawResponse.End.RESET)
 * }</pre>
 */
public record RawResponse(byte[] bytes, End end) {
    /** How a connection ends. */
    public enum End {
        /** The server closes the connection in order. */
        CLOSED,
        /** The server resets the connection. */
        RESET,
        /** The connection stays open, and nothing follows. */
        SILENT
    }

    /** Creates a response from its text, one byte a character. */
    public static RawResponse ended(String text, End end) {
        return new RawResponse(text.getBytes(StandardCharsets.ISO_8859_1), end);
    }

    /** Creates a response with a length. */
    public static RawResponse json(String status, String json) {
        return ended(
                "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + json.length()
                        + "\r\nConnection: close\r\n\r\n" + json,
                End.CLOSED);
    }

    /** Returns a chunk of a body. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
