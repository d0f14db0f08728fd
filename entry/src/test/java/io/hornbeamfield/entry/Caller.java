package io.hornbeamfield.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Test client that sends one request on a separate connection and reads the response. */
final class Caller implements AutoCloseable {
    private static final int TIMEOUT_MS = 20_000;

    private final Socket socket;
    private final StringBuilder text = new StringBuilder();

    private Caller(Socket socket) {
        this.socket = socket;
    }

    /** Sends a request; each header is given as a complete header line. */
    static Caller send(String address, String method, String path, String... headers) {
        return sendAs("HTTP/1.1", address, method, path, headers);
    }

    /** Sends a request of the given HTTP version; each header is given as a complete header line. */
    static Caller sendAs(String version, String address, String method, String path, String... headers) {
        try {
            int colon = address.lastIndexOf(':');
            Socket socket = new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
            socket.setSoTimeout(TIMEOUT_MS);
            String body = method.equals("GET") ? "" : "body";
            StringBuilder request =
                    new StringBuilder(method + " " + path + " " + version + "\r\nHost: api.example\r\n");
            for (String h : headers) {
                request.append(h).append("\r\n");
            }
            if (!body.isEmpty()) {
                request.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            request.append("Connection: close\r\n\r\n").append(body);
            socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.ISO_8859_1));
            return new Caller(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads until the received text contains the given text. */
    Caller awaitText(String wanted) {
        try {
            while (text.indexOf(wanted) < 0) {
                int b = socket.getInputStream().read();
                if (b < 0) {
                    throw new AssertionError(
                            "The connection ended before \"" + wanted + "\" arrived. Received: " + text);
                }
                text.append((char) b);
            }
            return this;
        } catch (IOException e) {
            throw new AssertionError("Reading failed before \"" + wanted + "\" arrived. Received: " + text, e);
        }
    }

    /** Reads until the connection ends, and returns all received text, followed by the failure if it was reset. */
    String all() {
        try {
            byte[] part = new byte[8_192];
            for (int n = socket.getInputStream().read(part);
                    n >= 0;
                    n = socket.getInputStream().read(part)) {
                text.append(new String(part, 0, n, StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            text.append("[")
                    .append(String.valueOf(e.getMessage()).toLowerCase(Locale.ROOT))
                    .append("]");
        }
        return text.toString();
    }

    /** Reads the complete response and returns its status. */
    int status() {
        return Integer.parseInt(all().substring("HTTP/1.1 ".length(), "HTTP/1.1 ".length() + 3));
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
