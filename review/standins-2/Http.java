import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client: one request on a new connection. */
final class Http {
    /** An answer; status 0 means that the connection ended without a whole answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    static Answer get(int port, String path, int timeoutMs) throws IOException {
        return send(port, "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n", timeoutMs);
    }

    static Answer send(int port, String request, int timeoutMs) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            s.setSoTimeout(timeoutMs);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            s.getOutputStream().flush();
            return read(new BufferedInputStream(s.getInputStream()));
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream b = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("The connection ended inside a line.");
            }
            if (c != '\r') {
                b.write(c);
            }
        }
        return b.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).trim().toLowerCase(Locale.ROOT), l.substring(colon + 1).trim());
        }
        return headers;
    }

    static Answer read(InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).split(" ")[1]);
        Map<String, String> headers = headers(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean whole = true;
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                for (int n = Integer.parseInt(line(in).trim(), 16); n > 0; n = Integer.parseInt(line(in).trim(), 16)) {
                    body.write(exactly(in, n));
                    line(in);
                }
                line(in);
            } else {
                body.write(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
            }
        } catch (IOException | NumberFormatException e) {
            whole = false;
        }
        return new Answer(status, headers, body.toByteArray(), whole);
    }

    static byte[] exactly(InputStream in, int n) throws IOException {
        byte[] bytes = in.readNBytes(n);
        if (bytes.length < n) {
            throw new EOFException("The connection ended inside a body.");
        }
        return bytes;
    }
}
