import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Minimal HTTP/1.1 messages over blocking streams. */
final class Http {
    private Http() {}

    /** A request or answer; {@code start} is its first line. */
    static final class Message {
        String start = "";
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the framing of the message says that all of it has arrived. */
        boolean complete;
        /** Why the message ended early, empty if it did not. */
        String broken = "";

        String header(String name) {
            for (String[] h : headers) {
                if (h[0].equalsIgnoreCase(name)) {
                    return h[1];
                }
            }
            return null;
        }

        int status() {
            String[] words = start.split(" ");
            return words.length > 1 && words[0].startsWith("HTTP/") ? Integer.parseInt(words[1]) : 0;
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a message; a message that ends early has {@code complete == false}. Returns null at the end of input. */
    static Message read(InputStream in, Consumer<Integer> onBodyBytes) {
        Message m = new Message();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String line = line(in);
            if (line == null) {
                return null;
            }
            m.start = line;
            for (line = need(line(in)); !line.isEmpty(); line = need(line(in))) {
                int colon = line.indexOf(':');
                m.headers.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
            }
            String length = m.header("Content-Length");
            if ("chunked".equalsIgnoreCase(String.valueOf(m.header("Transfer-Encoding")))) {
                while (true) {
                    int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
                    copy(in, size, body, onBodyBytes);
                    need(line(in));
                    if (size == 0) {
                        break;
                    }
                }
            } else if (length != null) {
                copy(in, Integer.parseInt(length), body, onBodyBytes);
            } else if (m.start.startsWith("HTTP/") && m.status() != 204 && m.status() != 304) {
                byte[] part = new byte[8192];
                for (int n = in.read(part); n >= 0; n = in.read(part)) {
                    body.write(part, 0, n);
                    onBodyBytes.accept(n);
                }
            }
            m.complete = true;
        } catch (IOException | NumberFormatException e) {
            m.broken = e.toString();
        }
        m.body = body.toByteArray();
        return m;
    }

    private static void copy(InputStream in, int size, ByteArrayOutputStream to, Consumer<Integer> onBytes)
            throws IOException {
        byte[] part = new byte[8192];
        int left = size;
        while (left > 0) {
            int n = in.read(part, 0, Math.min(left, part.length));
            if (n < 0) {
                throw new EOFException("closed with " + left + " bytes missing");
            }
            to.write(part, 0, n);
            onBytes.accept(n);
            left -= n;
        }
    }

    private static String need(String line) throws EOFException {
        if (line == null) {
            throw new EOFException("closed before the end of the message");
        }
        return line;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) {
            return null;
        }
        for (; b >= 0 && b != '\n'; b = in.read()) {
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }
}
